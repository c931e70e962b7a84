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
    bool leaving = false; ///< It drains; nothing is handed to it any more.

    auto operator<=>(const Owner &) const = default;
};

/** An incarnation that owned a shard before, whose claims still count. */
struct Predecessor
{
    std::string incarnation;
    int64_t endedAtMs = 0; ///< Wall time, Unix milliseconds.

    auto operator<=>(const Predecessor &) const = default;
};

struct ShardOwnership
{
    std::string owner; ///< Incarnation of the owner; empty when there is none.
    int64_t epoch = 0; ///< Goes up with every change of owner.
    std::vector<Predecessor> predecessors;

    auto operator<=>(const ShardOwnership &) const = default;
};

/** Who owns which shard. A value: every change makes a new map, committed by compare-and-set. */
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

    /** With @p incarnation among the owners; it gets the shards that nobody owns. */
    OwnershipMap withOwner(const std::string &incarnation, const Owner &owner, int64_t nowMs) const;

    /** With an owner marked as leaving. */
    OwnershipMap withLeaving(const std::string &incarnation) const;

    /** The owners that shards may be handed to, other than @p from. */
    std::vector<std::string> handoverTargets(const std::string &from) const;

    /** Without @p gone; all its shards go to @p heir, or to nobody when that is empty. */
    OwnershipMap withoutOwner(const std::string &gone, const std::string &heir, int64_t nowMs) const;

    /** With one shard handed to @p heir. */
    OwnershipMap withShardMoved(int index, const std::string &heir, int64_t nowMs) const;

    /** Without the predecessors that ended before @p beforeMs. */
    OwnershipMap withPredecessorsPruned(int64_t beforeMs) const;

    /** The shards that @p from should hand to @p to so that both come nearer to an even share; none if that leaves. */
    std::vector<int> shardsToHandOver(const std::string &from, const std::string &to) const;

    std::string toJson() const;

    /** Throws Malformed. */
    static OwnershipMap fromJson(const std::string &text);

private:
    std::map<std::string, Owner> owners_; ///< By incarnation.
    std::array<ShardOwnership, ShardCount> shards_;
};

} // namespace marjoramferry
