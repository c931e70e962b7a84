#include "owner/owned_shards.h"

#include "core/shard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

OwnedShards::OwnedShards(Milliseconds recoveryTimeout)
    : recoveryTimeout_(recoveryTimeout)
{
}

std::vector<int> OwnedShards::update(const OwnershipMap &ownership,
                                     int64_t version,
                                     const std::optional<std::string> &self,
                                     MonotonicTime now)
{
    std::vector<int> gained;
    std::vector<int> lost;
    for (int index = 0; index < ShardCount; ++index) {
        const ShardOwnership &shard = ownership.shard(index);
        const auto owned = shards_.find(index);
        const bool isOwnedHere = self && shard.owner == *self;
        if (owned != shards_.end() && isOwnedHere && owned->second.epoch == shard.epoch) {
            if (owned->second.drainingSince < version) {
                // The ownership map changed without moving this shard, so its pending hand-over can't take effect any
                // more.
                owned->second.drainingSince.reset();
            }
            continue;
        }
        if (owned != shards_.end()) {
            remove(index);
            lost.push_back(index);
        }
        if (isOwnedHere) {
            shards_[index] = ShardState{shard.epoch, 0, std::nullopt};
            gained.push_back(index);
        }
    }
    startRecoveries(ownership, gained, now);
    return lost;
}

std::vector<int> OwnedShards::clear()
{
    std::vector<int> lost;
    std::ranges::copy(shards_ | std::views::keys, std::back_inserter(lost));
    std::ranges::for_each(lost, [this](int shard) { remove(shard); });
    recoveries_.clear();
    return lost;
}

void OwnedShards::remove(int shard)
{
    shards_.erase(shard);
    recovered_.erase(shard);
}

void OwnedShards::startRecoveries(const OwnershipMap &ownership, const std::vector<int> &gained, MonotonicTime now)
{
    if (gained.empty()) {
        return;
    }
    std::vector<wire::ShardEpoch> epochs;
    std::set<std::string> predecessors;
    for (const int index : gained) {
        const ShardOwnership &shard = ownership.shard(index);
        wire::ShardEpoch epoch;
        epoch.shard = index;
        epoch.epoch = shard.epoch;
        epochs.push_back(epoch);
        for (const Predecessor &each : shard.predecessors) {
            predecessors.insert(each.incarnation);
        }
        shards_.at(index).recoveryId = lastRecoveryId_ + 1;
    }
    ++lastRecoveryId_;
    recoveries_.try_emplace(lastRecoveryId_, lastRecoveryId_, std::move(epochs), predecessors, now, recoveryTimeout_);
}

bool OwnedShards::isRecovering(int shard) const
{
    const auto found = shards_.find(shard);
    return found != shards_.end() && found->second.recoveryId != 0;
}

bool OwnedShards::isDraining(int shard) const
{
    const auto found = shards_.find(shard);
    return found != shards_.end() && found->second.drainingSince.has_value();
}

size_t OwnedShards::recoveringCount() const
{
    return static_cast<size_t>(
        std::ranges::count_if(shards_, [](const auto &entry) { return entry.second.recoveryId != 0; }));
}

const RecoveredJob *OwnedShards::findRecovered(const std::string &jobId) const
{
    const auto jobs = recovered_.find(shardOf(jobId));
    if (jobs == recovered_.end()) {
        return nullptr;
    }
    const auto found = jobs->second.find(jobId);
    return found == jobs->second.end() ? nullptr : &found->second;
}

void OwnedShards::beginDraining(const std::vector<int> &shards, int64_t version)
{
    for (const int index : shards) {
        if (const auto found = shards_.find(index); found != shards_.end() && !found->second.drainingSince) {
            found->second.drainingSince = version;
        }
    }
}

std::vector<int> OwnedShards::idleDrainingShards(const std::set<int> &busy) const
{
    std::vector<int> idle;
    for (const auto &[index, state] : shards_) {
        if (state.drainingSince && state.recoveryId == 0 && !busy.contains(index)) {
            idle.push_back(index);
        }
    }
    return idle;
}

void OwnedShards::advanceRecoveries(const AgentDirectory &directory, MonotonicTime now, EntryOutbox &out)
{
    for (auto entry = recoveries_.begin(); entry != recoveries_.end();) {
        entry->second.advance(directory, now, out);
        if (!entry->second.isDone(now)) {
            ++entry;
            continue;
        }
        RecoveredShards result = entry->second.result();
        out.log(LogEvent::Level::Info,
                "shards_recovered",
                {{"shards", absl::StrCat(result.shards.size())}, {"jobs", absl::StrCat(result.jobs.size())}});
        adopt(entry->first, std::move(result));
        entry = recoveries_.erase(entry);
    }
}

void OwnedShards::adopt(int64_t recoveryId, RecoveredShards &&result)
{
    for (const int index : result.shards) {
        const auto shard = shards_.find(index);
        if (shard != shards_.end() && shard->second.recoveryId == recoveryId) {
            shard->second.recoveryId = 0;
        }
    }
    for (auto &[jobId, job] : result.jobs) {
        recovered_[shardOf(jobId)][jobId] = std::move(job);
    }
}

void OwnedShards::onStartRecords(const wire::StartRecords &records)
{
    if (const auto found = recoveries_.find(records.requestId); found != recoveries_.end()) {
        found->second.onStartRecords(records);
    }
}

void OwnedShards::onTableResult(int64_t recoveryId, const TableResult &result, EntryOutbox &out)
{
    if (const auto found = recoveries_.find(recoveryId); found != recoveries_.end()) {
        found->second.onTableResult(result, out);
    }
}

} // namespace marjoramferry
