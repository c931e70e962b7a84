#include "core/error.h"
#include "owner/shard_recovery.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("An agent row round-trips through JSON, and a malformed row throws")
{
    const AgentRow row{"agent-1", true, false};
    CHECK(AgentRow::fromJson(Row{AgentRow::keyOf("agent"), 1, row.toJson()}) == row);
    CHECK_THROWS_AS(AgentRow::fromJson(Row{"agent/a", 1, "{"}), Error);
    CHECK_THROWS_AS(AgentRow::fromJson(Row{"agent/a", 1, "{}"}), Error);
    CHECK_THROWS_AS(AgentRow::fromJson(Row{"agent/a", 1, R"({"incarnation":1,"restarted":true,"left":false})"}), Error);
}

TEST_CASE("A recovery that reads a malformed row throws and reads the same rows again")
{
    ShardRecovery recovery(
        1, {wire::ShardEpoch()}, {"former"}, MonotonicTime(std::chrono::hours(1)), Milliseconds(1000));
    EntryOutbox out;
    const MonotonicTime late{std::chrono::hours(2)};
    recovery.advance(AgentDirectory(DirectoryTiming()), late, out);
    TableResult damaged;
    damaged.outcome = TableOutcome::Done;
    damaged.rows.push_back(Row{"claim/former/1", 1, "not JSON"});
    CHECK_THROWS_AS(recovery.onTableResult(damaged, out), Error);
    CHECK_FALSE(recovery.isDone(late));
    out.take();
    recovery.advance(AgentDirectory(DirectoryTiming()), late, out);
    CHECK(out.take().size() == 1);
}
