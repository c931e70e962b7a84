#include "owner/owned_shards.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr Milliseconds RecoveryTimeout{1000};

OwnershipMap ownedBy(const std::string &incarnation)
{
    return OwnershipMap().withOwner(incarnation, Owner{"a", "127.0.0.1:1"}, 1);
}

/** Shards of the owner "a.0", which has taken them over from nobody. */
struct Fixture
{
    OwnershipMap map = ownedBy("a.0");
    OwnedShards shards{RecoveryTimeout};
    AgentDirectory directory{DirectoryTiming()};
    EntryOutbox out;

    Fixture()
    {
        shards.update(map, 1, "a.0", Start);
    }

    void finishRecovery()
    {
        shards.advanceRecoveries(directory, Start + RecoveryTimeout, out);
    }
};

} // namespace

// Guards against starts in a gained shard before the starts of its earlier owners are known.
TEST_CASE("Gained shards are in recovery until it ends")
{
    Fixture fixture;
    CHECK(fixture.shards.recoveringCount() == ShardCount);
    CHECK(fixture.shards.isRecovering(0));
    CHECK(fixture.shards.epochOf(0) == fixture.map.shard(0).epoch);
    fixture.finishRecovery();
    CHECK(fixture.shards.recoveringCount() == 0);
    CHECK(fixture.shards.contains(0));
}

// Guards against shards that an entry keeps without a claim log.
TEST_CASE("An entry that can't own shards gains none and loses those it has")
{
    OwnedShards none(RecoveryTimeout);
    CHECK(none.update(ownedBy("a.0"), 1, std::nullopt, Start).empty());
    CHECK(none.isEmpty());
    Fixture fixture;
    CHECK(fixture.shards.update(fixture.map, 2, std::nullopt, Start).size() == ShardCount);
    CHECK(fixture.shards.isEmpty());
}

// Guards against jobs that stay in a shard that another owner had in between.
TEST_CASE("A shard under a later epoch is lost and gained again")
{
    Fixture fixture;
    fixture.finishRecovery();
    const OwnershipMap moved = fixture.map.withOwner("b.0", Owner{"b", "127.0.0.1:2"}, 2).withShardMoved(3, "b.0", 3);
    const OwnershipMap back = moved.withShardMoved(3, "a.0", 4);
    CHECK(fixture.shards.update(back, 4, "a.0", Start) == std::vector<int>{3});
    CHECK(fixture.shards.epochOf(3) == back.shard(3).epoch);
    CHECK(fixture.shards.isRecovering(3));
    CHECK(fixture.shards.recoveringCount() == 1);
}

// Guards against a recovery that ends the one of a later epoch.
TEST_CASE("The end of a recovery leaves a shard in recovery that was lost and gained since")
{
    Fixture fixture;
    const OwnershipMap moved = fixture.map.withOwner("b.0", Owner{"b", "127.0.0.1:2"}, 2).withShardMoved(3, "b.0", 3);
    fixture.shards.update(moved.withShardMoved(3, "a.0", 4), 4, "a.0", Start + Milliseconds(500));
    fixture.finishRecovery();
    CHECK(fixture.shards.isRecovering(3));
    CHECK(fixture.shards.recoveringCount() == 1);
}

// Guards against a shard that takes no more jobs after its hand-over did not happen.
TEST_CASE("A draining shard takes jobs again once a later map leaves it here")
{
    Fixture fixture;
    fixture.shards.beginDraining({5}, 7);
    CHECK(fixture.shards.isDraining(5));
    fixture.shards.update(fixture.map, 7, "a.0", Start);
    CHECK(fixture.shards.isDraining(5));
    fixture.shards.update(fixture.map, 8, "a.0", Start);
    CHECK_FALSE(fixture.shards.isDraining(5));
}

// Guards against the hand-over of a shard with jobs, or with unknown starts.
TEST_CASE("Draining shards are idle once they are recovered and have no active jobs")
{
    Fixture fixture;
    fixture.shards.beginDraining({5, 6}, 7);
    CHECK(fixture.shards.idleDrainingShards({}).empty());
    fixture.finishRecovery();
    CHECK(fixture.shards.idleDrainingShards({6}) == std::vector<int>{5});
}

// Guards against recoveries that go on after the owner was fenced.
TEST_CASE("Clearing gives up all shards and their recoveries")
{
    Fixture fixture;
    CHECK(fixture.shards.clear().size() == ShardCount);
    CHECK(fixture.shards.isEmpty());
    fixture.finishRecovery();
    CHECK(fixture.out.take().empty());
}
