#pragma once

#include "core/shard.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoramferry {

/** One incarnation of an entry that owns shards. */
struct Owner
{
    std::string name;
    std::string address; ///< host:port of its Thrift listener.
    bool leaving = false; ///< It is draining; no more shards are moved to it.

    auto operator<=>(const Owner &) const = default;
};

/** An earlier owner of a shard, whose claims are still read on recovery. */
struct Predecessor
{
    std::string incarnation;
    int64_t endedAtMs = 0; ///< Wall time, Unix milliseconds.

    auto operator<=>(const Predecessor &) const = default;
};

struct ShardOwnership
{
    std::string owner; ///< Incarnation of the owner; empty if unowned.
    int64_t epoch = 0; ///< Incremented with every change of owner.
    std::vector<Predecessor> predecessors;

    auto operator<=>(const ShardOwnership &) const = default;
};

/** Assigns shards to owners. Every change returns a new map, which is committed by compare-and-set. */
class OwnershipMap
{
public:
    bool operator==(const OwnershipMap &) const = default;

    const std::map<std::string, Owner> &owners() const
    {
        return owners_;
    }

    const ShardOwnership &shard(int index) const
    {
        return shards_.at(static_cast<size_t>(index));
    }

    std::vector<int> shardsOf(const std::string &incarnation) const;

    /** Returns a map with @p incarnation added as an owner and assigned all unowned shards. */
    OwnershipMap withOwner(const std::string &incarnation, const Owner &owner, int64_t nowMs) const;

    /** Returns a map with this owner marked as leaving. */
    OwnershipMap withLeaving(const std::string &incarnation) const;

    /** Incarnations other than @p from that shards can be moved to. */
    std::vector<std::string> handoverTargets(const std::string &from) const;

    /** Returns a map without @p removed; its shards go to @p newOwner, or become unowned if that is empty. */
    OwnershipMap withoutOwner(const std::string &removed, const std::string &newOwner, int64_t nowMs) const;

    /** Returns a map with one shard moved to @p newOwner. */
    OwnershipMap withShardMoved(int index, const std::string &newOwner, int64_t nowMs) const;

    /** Returns a map without the predecessors whose ownership ended before @p beforeMs. */
    OwnershipMap withPredecessorsPruned(int64_t beforeMs) const;

    /**
     * Shards to move from @p from to @p to: at most those that @p from has above the even share and
     * @p to lacks. Empty if @p to is leaving or unknown.
     */
    std::vector<int> shardsToHandOver(const std::string &from, const std::string &to) const;

    std::string toJson() const;

    /** Throws Malformed. */
    static OwnershipMap fromJson(const std::string &text);

private:
    std::map<std::string, Owner> owners_; ///< By incarnation.
    std::array<ShardOwnership, ShardCount> shards_;
};

} // namespace marjoramferry
