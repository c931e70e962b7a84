#include "request/start_registry.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace marjoramferry {

StartGate::StartGate(StartRecordLimits memory)
    : memory_(memory)
{
}

std::optional<StartKnown> StartGate::find(const TaskKey &key, StartOrder order) const
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return std::nullopt;
    }
    const Record &record = found->second;
    if (record.state == wire::StartState::REFUSED && order > record.refusedUpTo) {
        return std::nullopt;
    }
    return known(record);
}

StartDecision StartGate::admit(const TaskKey &key, int shard, StartOrder order, MonotonicTime now)
{
    if (!fence(shard, order.epoch)) {
        return StartRefused{wire::RefusalKind::STALE_EPOCH};
    }
    if (const auto seen = find(key, order)) {
        return *seen;
    }
    if (const auto found = records_.find(key); found != records_.end()) {
        found->second.state = wire::StartState::RUNNING;
        found->second.startedAt = now;
        ages_.push_back(Age{now, key});
        return StartAdmitted{};
    }
    if (records_.size() >= memory_.maxRecords) {
        return StartRefused{wire::RefusalKind::MEMORY_FULL};
    }
    Record record;
    record.shard = shard;
    remember(key, std::move(record), now);
    return StartAdmitted{};
}

void StartGate::finish(const TaskKey &key, wire::StartState::type state, std::string output, int runMs)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    if (state == wire::StartState::REFUSED) {
        // The age entry stays behind and finds nothing when it falls due.
        records_.erase(found);
        return;
    }
    outputBytes_ += output.size();
    found->second.state = state;
    found->second.output = std::move(output);
    found->second.runMs = runMs;
    outputs_.push_back(key);
    dropOldOutputs();
}

StartKnown StartGate::resolve(const TaskKey &key, int shard, StartOrder order, MonotonicTime now)
{
    if (const auto found = records_.find(key); found != records_.end()) {
        found->second.refusedUpTo = std::max(found->second.refusedUpTo, order);
        return known(found->second);
    }
    Record record;
    record.state = wire::StartState::REFUSED;
    record.refusedUpTo = order;
    record.shard = shard;
    remember(key, std::move(record), now);
    return StartKnown{};
}

bool StartGate::fence(int shard, int64_t epoch)
{
    if (shard < 0 || shard >= ShardCount) {
        return false;
    }
    int64_t &known = epochs_.at(static_cast<size_t>(shard));
    if (epoch < known) {
        return false;
    }
    known = epoch;
    return true;
}

std::vector<wire::StartRecord> StartGate::recordsOf(const std::vector<int> &shards) const
{
    const absl::flat_hash_set<int> wanted(shards.begin(), shards.end());
    std::vector<wire::StartRecord> result;
    for (const auto &[key, record] : records_) {
        if (!wanted.contains(record.shard) || record.state == wire::StartState::REFUSED) {
            continue;
        }
        wire::StartRecord entry;
        entry.jobId = key.jobId;
        entry.taskId = key.taskId;
        entry.state = record.state;
        entry.output = record.output;
        entry.outputDropped = record.outputDropped;
        result.push_back(std::move(entry));
    }
    // The table's own order differs from process to process.
    std::ranges::sort(result, {}, [](const wire::StartRecord &entry) { return TaskKey{entry.jobId, entry.taskId}; });
    return result;
}

void StartGate::expire(MonotonicTime now)
{
    while (!ages_.empty() && ages_.front().at + memory_.retention < now) {
        forgetIfOld(ages_.front().key, now);
        ages_.pop_front();
    }
    while (!outputs_.empty() && !records_.contains(outputs_.front())) {
        outputs_.pop_front();
    }
}

void StartGate::forgetIfOld(const TaskKey &key, MonotonicTime now)
{
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.startedAt + memory_.retention >= now) {
        return;
    }
    if (found->second.state == wire::StartState::RUNNING) {
        // A task that still runs is kept for another horizon.
        found->second.startedAt = now;
        ages_.push_back(Age{now, key});
        return;
    }
    outputBytes_ -= found->second.output.size();
    records_.erase(found);
}

StartKnown StartGate::known(const Record &record)
{
    return StartKnown{record.state, record.output, record.outputDropped, record.runMs};
}

void StartGate::remember(const TaskKey &key, Record record, MonotonicTime now)
{
    record.startedAt = now;
    records_.emplace(key, std::move(record));
    ages_.push_back(Age{now, key});
}

void StartGate::dropOldOutputs()
{
    while (outputBytes_ > memory_.maxOutputBytes && !outputs_.empty()) {
        const auto found = records_.find(outputs_.front());
        outputs_.pop_front();
        if (found == records_.end() || found->second.output.empty()) {
            continue;
        }
        outputBytes_ -= found->second.output.size();
        found->second.output.clear();
        found->second.outputDropped = true;
    }
}

} // namespace marjoramferry
