#include "owner/start_registry.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace marjoramferry {

StartRegistry::StartRegistry(StartRecordLimits limits)
    : limits_(limits)
{
}

std::optional<StartStatus> StartRegistry::find(const TaskKey &key, StartOrder order) const
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return std::nullopt;
    }
    const Record &record = found->second;
    if (record.state == wire::StartState::REFUSED && order > record.refusedUpTo) {
        return std::nullopt;
    }
    return statusOf(record);
}

StartDecision StartRegistry::admit(const TaskKey &key, int shard, StartOrder order, MonotonicTime now)
{
    if (!fence(shard, order.epoch)) {
        return StartRefused{wire::RefusalKind::STALE_EPOCH};
    }
    if (const auto status = find(key, order)) {
        return *status;
    }
    if (const auto found = records_.find(key); found != records_.end()) {
        found->second.state = wire::StartState::RUNNING;
        found->second.startedAt = now;
        expiryQueue_.push_back(ExpiryEntry{now, key});
        return StartAdmitted{};
    }
    if (records_.size() >= limits_.maxRecords) {
        return StartRefused{wire::RefusalKind::MEMORY_FULL};
    }
    Record record;
    record.shard = shard;
    insertRecord(key, std::move(record), now);
    return StartAdmitted{};
}

void StartRegistry::finish(const TaskKey &key, wire::StartState::type state, std::string output, int runMs)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    if (state == wire::StartState::REFUSED) {
        // The expiry entry stays in the queue; expire() skips it, as its record no longer exists.
        records_.erase(found);
        return;
    }
    outputBytes_ += output.size();
    found->second.state = state;
    found->second.output = std::move(output);
    found->second.runMs = runMs;
    outputQueue_.push_back(key);
    dropOldestOutputs();
}

StartStatus StartRegistry::resolve(const TaskKey &key, int shard, StartOrder order, MonotonicTime now)
{
    if (const auto found = records_.find(key); found != records_.end()) {
        found->second.refusedUpTo = std::max(found->second.refusedUpTo, order);
        return statusOf(found->second);
    }
    Record record;
    record.state = wire::StartState::REFUSED;
    record.refusedUpTo = order;
    record.shard = shard;
    insertRecord(key, std::move(record), now);
    return StartStatus{};
}

bool StartRegistry::fence(int shard, int64_t epoch)
{
    if (shard < 0 || shard >= ShardCount) {
        return false;
    }
    int64_t &newestEpoch = epochs_.at(static_cast<size_t>(shard));
    if (epoch < newestEpoch) {
        return false;
    }
    newestEpoch = epoch;
    return true;
}

std::vector<wire::StartRecord> StartRegistry::recordsOf(const std::vector<int> &shards) const
{
    const absl::flat_hash_set<int> wanted(shards.begin(), shards.end());
    std::vector<wire::StartRecord> result;
    for (const auto &[key, record] : records_) {
        if (!wanted.contains(record.shard) || record.state == wire::StartState::REFUSED) {
            continue;
        }
        wire::StartRecord started;
        started.jobId = key.jobId;
        started.taskId = key.taskId;
        started.state = record.state;
        started.output = record.output;
        started.outputDropped = record.outputDropped;
        result.push_back(std::move(started));
    }
    // The iteration order of flat_hash_map differs between processes.
    std::ranges::sort(result, {}, [](const wire::StartRecord &each) { return TaskKey{each.jobId, each.taskId}; });
    return result;
}

void StartRegistry::expire(MonotonicTime now)
{
    while (!expiryQueue_.empty() && expiryQueue_.front().startedAt + limits_.retention < now) {
        eraseIfExpired(expiryQueue_.front().key, now);
        expiryQueue_.pop_front();
    }
    while (!outputQueue_.empty() && !records_.contains(outputQueue_.front())) {
        outputQueue_.pop_front();
    }
}

void StartRegistry::eraseIfExpired(const TaskKey &key, MonotonicTime now)
{
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.startedAt + limits_.retention >= now) {
        return;
    }
    if (found->second.state == wire::StartState::RUNNING) {
        // Keep the record of a running task for another retention period.
        found->second.startedAt = now;
        expiryQueue_.push_back(ExpiryEntry{now, key});
        return;
    }
    outputBytes_ -= found->second.output.size();
    records_.erase(found);
}

StartStatus StartRegistry::statusOf(const Record &record)
{
    return StartStatus{record.state, record.output, record.outputDropped, record.runMs};
}

void StartRegistry::insertRecord(const TaskKey &key, Record record, MonotonicTime now)
{
    record.startedAt = now;
    records_.emplace(key, std::move(record));
    expiryQueue_.push_back(ExpiryEntry{now, key});
}

void StartRegistry::dropOldestOutputs()
{
    while (outputBytes_ > limits_.maxOutputBytes && !outputQueue_.empty()) {
        const auto found = records_.find(outputQueue_.front());
        outputQueue_.pop_front();
        if (found == records_.end() || found->second.output.empty()) {
            continue;
        }
        outputBytes_ -= found->second.output.size();
        found->second.output.clear();
        found->second.outputDropped = true;
    }
}

} // namespace marjoramferry
