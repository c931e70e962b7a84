#include "owner/start_registry.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
const TaskKey Key{"job", "task"};
constexpr int Shard = 3;

bool isAdmitted(const StartDecision &decision)
{
    return std::holds_alternative<StartAdmitted>(decision);
}

} // namespace

TEST_CASE("A task is admitted once; later starts return its recorded status")
{
    StartRegistry registry{StartRecordLimits()};
    CHECK(isAdmitted(registry.admit(Key, Shard, {1, 1}, Start)));
    CHECK(std::get<StartStatus>(registry.admit(Key, Shard, {1, 2}, Start)).state == wire::StartState::RUNNING);
    registry.finish(Key, wire::StartState::SUCCEEDED, "7", 12);
    const auto known = std::get<StartStatus>(registry.admit(Key, Shard, {2, 1}, Start));
    CHECK(known.state == wire::StartState::SUCCEEDED);
    CHECK(known.output == "7");
}

TEST_CASE("A start with an epoch older than the newest known one is refused")
{
    StartRegistry registry{StartRecordLimits()};
    CHECK(registry.fence(Shard, 5));
    CHECK(std::get<StartRefused>(registry.admit(Key, Shard, {4, 9}, Start)).kind == wire::RefusalKind::STALE_EPOCH);
    CHECK(isAdmitted(registry.admit(Key, Shard, {5, 1}, Start)));
    CHECK(isAdmitted(registry.admit(Key, Shard + 1, {1, 1}, Start)) == false);
    CHECK(isAdmitted(registry.admit({"job", "other"}, Shard + 1, {1, 1}, Start)));
    CHECK_FALSE(registry.fence(Shard, 4));
    CHECK_FALSE(registry.fence(ShardCount, 9));
    CHECK_FALSE(registry.fence(-1, 9));
}

TEST_CASE("A task that is resolved as not started is refused for orders up to the resolving one")
{
    StartRegistry registry{StartRecordLimits()};
    CHECK(registry.resolve(Key, Shard, {1, 4}, Start).state == wire::StartState::REFUSED);
    CHECK(std::get<StartStatus>(registry.admit(Key, Shard, {1, 4}, Start)).state == wire::StartState::REFUSED);
    CHECK(isAdmitted(registry.admit(Key, Shard, {1, 5}, Start)));
    CHECK(registry.resolve(Key, Shard, {1, 6}, Start).state == wire::StartState::RUNNING);
}

TEST_CASE("A task whose start did not reach the endpoint can be admitted again")
{
    StartRegistry registry{StartRecordLimits()};
    CHECK(isAdmitted(registry.admit(Key, Shard, {1, 1}, Start)));
    registry.finish(Key, wire::StartState::REFUSED, "", 0);
    CHECK(isAdmitted(registry.admit(Key, Shard, {1, 2}, Start)));
}

TEST_CASE("At the record limit new starts are refused instead of evicting a record")
{
    StartRecordLimits limits;
    limits.maxRecords = 2;
    limits.retention = Milliseconds(1000);
    StartRegistry registry(limits);
    CHECK(isAdmitted(registry.admit({"a", "1"}, Shard, {1, 1}, Start)));
    CHECK(isAdmitted(registry.admit({"a", "2"}, Shard, {1, 1}, Start)));
    CHECK(std::get<StartRefused>(registry.admit({"a", "3"}, Shard, {1, 1}, Start)).kind
          == wire::RefusalKind::MEMORY_FULL);
    registry.finish({"a", "1"}, wire::StartState::SUCCEEDED, "x", 1);
    registry.expire(Start + Milliseconds(1001));
    CHECK(registry.size() == 1);
    CHECK(isAdmitted(registry.admit({"a", "3"}, Shard, {1, 1}, Start + Milliseconds(1001))));
    // A running task keeps its record beyond the retention time.
    CHECK_FALSE(isAdmitted(registry.admit({"a", "2"}, Shard, {1, 2}, Start + Milliseconds(1001))));
}

TEST_CASE("The oldest output above the size limit is dropped and its record is marked")
{
    StartRecordLimits limits;
    limits.maxOutputBytes = 4;
    StartRegistry registry(limits);
    registry.admit({"a", "1"}, Shard, {1, 1}, Start);
    registry.admit({"a", "2"}, Shard, {1, 1}, Start);
    registry.finish({"a", "1"}, wire::StartState::SUCCEEDED, "xxx", 1);
    registry.finish({"a", "2"}, wire::StartState::SUCCEEDED, "yyy", 1);
    const auto first = registry.find({"a", "1"}, {1, 2});
    REQUIRE(first);
    CHECK(first->outputDropped);
    CHECK(registry.find({"a", "2"}, {1, 2})->output == "yyy");
    CHECK(registry.recordsOf({Shard}).size() == 2);
    CHECK(registry.recordsOf({Shard + 1}).empty());
}
