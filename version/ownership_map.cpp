#include "version/ownership_map.h"

#include "core/error.h"
#include "version/json_fields.h"

#include <algorithm>
#include <ranges>

namespace marjoramferry {

using nlohmann::json;

namespace {

void moveShard(ShardOwnership &shard, const std::string &newOwner, int64_t nowMs)
{
    if (!shard.owner.empty()) {
        shard.predecessors.push_back(Predecessor{shard.owner, nowMs});
    }
    shard.owner = newOwner;
    ++shard.epoch;
}

} // namespace

std::vector<int> OwnershipMap::shardsOf(const std::string &incarnation) const
{
    std::vector<int> result;
    std::ranges::copy_if(std::views::iota(0, ShardCount), std::back_inserter(result), [&](int index) {
        return shard(index).owner == incarnation;
    });
    return result;
}

OwnershipMap OwnershipMap::withOwner(const std::string &incarnation, const Owner &owner, int64_t nowMs) const
{
    OwnershipMap next = *this;
    next.owners_[incarnation] = owner;
    for (ShardOwnership &shard : next.shards_) {
        if (shard.owner.empty()) {
            moveShard(shard, incarnation, nowMs);
        }
    }
    return next;
}

OwnershipMap OwnershipMap::withLeaving(const std::string &incarnation) const
{
    OwnershipMap next = *this;
    if (const auto found = next.owners_.find(incarnation); found != next.owners_.end()) {
        found->second.leaving = true;
    }
    return next;
}

std::vector<std::string> OwnershipMap::handoverTargets(const std::string &from) const
{
    std::vector<std::string> targets;
    for (const auto &[incarnation, owner] : owners_) {
        if (incarnation != from && !owner.leaving) {
            targets.push_back(incarnation);
        }
    }
    return targets;
}

OwnershipMap OwnershipMap::withoutOwner(const std::string &removed, const std::string &newOwner, int64_t nowMs) const
{
    OwnershipMap next = *this;
    next.owners_.erase(removed);
    for (ShardOwnership &shard : next.shards_) {
        if (shard.owner == removed) {
            moveShard(shard, newOwner, nowMs);
        }
    }
    return next;
}

OwnershipMap OwnershipMap::withShardMoved(int index, const std::string &newOwner, int64_t nowMs) const
{
    OwnershipMap next = *this;
    moveShard(next.shards_.at(static_cast<size_t>(index)), newOwner, nowMs);
    return next;
}

OwnershipMap OwnershipMap::withPredecessorsPruned(int64_t beforeMs) const
{
    OwnershipMap next = *this;
    for (ShardOwnership &shard : next.shards_) {
        std::erase_if(shard.predecessors, [&](const Predecessor &each) { return each.endedAtMs < beforeMs; });
    }
    return next;
}

std::vector<int> OwnershipMap::shardsToHandOver(const std::string &from, const std::string &to) const
{
    const auto target = owners_.find(to);
    if (target == owners_.end() || target->second.leaving) {
        return {};
    }
    const auto ownersNotLeaving
        = std::ranges::count_if(owners_ | std::views::values, [](const Owner &owner) { return !owner.leaving; });
    const auto evenShare = static_cast<size_t>(ShardCount) / static_cast<size_t>(ownersNotLeaving);
    std::vector<int> owned = shardsOf(from);
    const size_t missing = evenShare - std::min(evenShare, shardsOf(to).size());
    const size_t excess = owned.size() - std::min(owned.size(), evenShare);
    owned.resize(std::min(missing, excess));
    return owned;
}

std::string OwnershipMap::toJson() const
{
    json result = {{"owners", json::object()}, {"shards", json::array()}};
    for (const auto &[incarnation, owner] : owners_) {
        result["owners"][incarnation] = {{"name", owner.name}, {"address", owner.address}, {"leaving", owner.leaving}};
    }
    for (const ShardOwnership &shard : shards_) {
        json predecessors = json::array();
        for (const Predecessor &each : shard.predecessors) {
            predecessors.push_back({{"incarnation", each.incarnation}, {"ended_at_ms", each.endedAtMs}});
        }
        result["shards"].push_back({{"owner", shard.owner}, {"epoch", shard.epoch}, {"before", predecessors}});
    }
    return result.dump();
}

OwnershipMap OwnershipMap::fromJson(const std::string &text)
{
    const json parsed = parseJson(text, "ownership row");
    try {
        OwnershipMap result;
        for (const auto &[incarnation, owner] : parsed.at("owners").items()) {
            result.owners_[incarnation] = Owner{owner.at("name").get<std::string>(),
                                                owner.at("address").get<std::string>(),
                                                owner.at("leaving").get<bool>()};
        }
        const json &shards = parsed.at("shards");
        if (shards.size() != static_cast<size_t>(ShardCount)) {
            throw Error(ErrorKind::Malformed,
                        "ownership row",
                        "has a different shard count",
                        "run the same release on all entries");
        }
        for (size_t index = 0; index < shards.size(); ++index) {
            ShardOwnership &shard = result.shards_.at(index);
            shard.owner = shards[index].at("owner").get<std::string>();
            shard.epoch = shards[index].at("epoch").get<int64_t>();
            for (const json &each : shards[index].at("before")) {
                shard.predecessors.push_back(
                    Predecessor{each.at("incarnation").get<std::string>(), each.at("ended_at_ms").get<int64_t>()});
            }
        }
        return result;
    } catch (const json::exception &failure) {
        throw Error(ErrorKind::Malformed, "ownership row", failure.what(), "see docs/OPERATIONS.md, damaged rows");
    }
}

} // namespace marjoramferry
