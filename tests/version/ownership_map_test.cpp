#include "core/error.h"
#include "version/ownership_map.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("The first owner gets all shards, and a successor gets those of a removed owner")
{
    const OwnershipMap first = OwnershipMap().withOwner("a.0", Owner{"a", "127.0.0.1:1"}, 5);
    CHECK(first.shardsOf("a.0").size() == ShardCount);
    const OwnershipMap second = first.withOwner("b.0", Owner{"b", "127.0.0.1:2"}, 6);
    CHECK(second.shardsOf("b.0").empty());
    const OwnershipMap third = second.withoutOwner("a.0", "b.0", 7);
    CHECK(third.shardsOf("b.0").size() == ShardCount);
    CHECK(third.shard(0).epoch == first.shard(0).epoch + 1);
    REQUIRE(third.shard(0).predecessors.size() == 1);
    CHECK(third.shard(0).predecessors[0] == Predecessor{"a.0", 7});
    CHECK(third.withPredecessorsPruned(8).shard(0).predecessors.empty());
}

TEST_CASE("Shards are moved up to an even share, and only from an owner above it")
{
    OwnershipMap map = OwnershipMap().withOwner("a.0", Owner{"a", "127.0.0.1:1"}, 1);
    map = map.withOwner("b.0", Owner{"b", "127.0.0.1:2"}, 1).withOwner("c.0", Owner{"c", "127.0.0.1:3"}, 1);
    const auto surplus = map.shardsToHandOver("a.0", "b.0");
    CHECK(surplus.size() == ShardCount / 3);
    for (const int shard : surplus) {
        map = map.withShardMoved(shard, "b.0", 2);
    }
    CHECK(map.shardsToHandOver("a.0", "b.0").empty());
    CHECK(map.shardsToHandOver("b.0", "c.0").empty());
    CHECK(map.shardsToHandOver("a.0", "c.0").size() == ShardCount / 3);
}

TEST_CASE("The map round-trips through JSON, and malformed JSON throws")
{
    const OwnershipMap map = OwnershipMap().withOwner("a.0", Owner{"a", "127.0.0.1:1"}, 1).withoutOwner("a.0", "", 2);
    CHECK(OwnershipMap::fromJson(map.toJson()) == map);
    CHECK_THROWS_AS(OwnershipMap::fromJson("{}"), Error);
    CHECK_THROWS_AS(OwnershipMap::fromJson(R"({"owners":{},"shards":[]})"), Error);
    CHECK_THROWS_AS(OwnershipMap::fromJson("not JSON"), Error);
}
