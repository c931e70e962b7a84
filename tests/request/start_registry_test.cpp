#include "request/start_registry.h"

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

TEST_CASE("A task is admitted once, and its state is told after that")
{
    StartGate gate{StartRecordLimits()};
    CHECK(isAdmitted(gate.admit(Key, Shard, {1, 1}, Start)));
    CHECK(std::get<StartKnown>(gate.admit(Key, Shard, {1, 2}, Start)).state == wire::StartState::RUNNING);
    gate.finish(Key, wire::StartState::SUCCEEDED, "7", 12);
    const auto known = std::get<StartKnown>(gate.admit(Key, Shard, {2, 1}, Start));
    CHECK(known.state == wire::StartState::SUCCEEDED);
    CHECK(known.output == "7");
}

TEST_CASE("An older epoch is refused after a newer one was seen")
{
    StartGate gate{StartRecordLimits()};
    CHECK(gate.fence(Shard, 5));
    CHECK(std::get<StartRefused>(gate.admit(Key, Shard, {4, 9}, Start)).kind == wire::RefusalKind::STALE_EPOCH);
    CHECK(isAdmitted(gate.admit(Key, Shard, {5, 1}, Start)));
    CHECK(isAdmitted(gate.admit(Key, Shard + 1, {1, 1}, Start)) == false);
    CHECK(isAdmitted(gate.admit({"job", "other"}, Shard + 1, {1, 1}, Start)));
    CHECK_FALSE(gate.fence(Shard, 4));
    CHECK_FALSE(gate.fence(ShardCount, 9));
    CHECK_FALSE(gate.fence(-1, 9));
}

TEST_CASE("A task that was resolved as not started is refused for earlier orders only")
{
    StartGate gate{StartRecordLimits()};
    CHECK(gate.resolve(Key, Shard, {1, 4}, Start).state == wire::StartState::REFUSED);
    CHECK(std::get<StartKnown>(gate.admit(Key, Shard, {1, 4}, Start)).state == wire::StartState::REFUSED);
    CHECK(isAdmitted(gate.admit(Key, Shard, {1, 5}, Start)));
    CHECK(gate.resolve(Key, Shard, {1, 6}, Start).state == wire::StartState::RUNNING);
}

TEST_CASE("A start that never reached the endpoint may be asked for again")
{
    StartGate gate{StartRecordLimits()};
    CHECK(isAdmitted(gate.admit(Key, Shard, {1, 1}, Start)));
    gate.finish(Key, wire::StartState::REFUSED, "", 0);
    CHECK(isAdmitted(gate.admit(Key, Shard, {1, 2}, Start)));
}

TEST_CASE("Memory is bounded: starts are refused before one is forgotten too early")
{
    StartRecordLimits memory;
    memory.maxRecords = 2;
    memory.retention = Milliseconds(1000);
    StartGate gate(memory);
    CHECK(isAdmitted(gate.admit({"a", "1"}, Shard, {1, 1}, Start)));
    CHECK(isAdmitted(gate.admit({"a", "2"}, Shard, {1, 1}, Start)));
    CHECK(std::get<StartRefused>(gate.admit({"a", "3"}, Shard, {1, 1}, Start)).kind == wire::RefusalKind::MEMORY_FULL);
    gate.finish({"a", "1"}, wire::StartState::SUCCEEDED, "x", 1);
    gate.expire(Start + Milliseconds(1001));
    CHECK(gate.size() == 1);
    CHECK(isAdmitted(gate.admit({"a", "3"}, Shard, {1, 1}, Start + Milliseconds(1001))));
    // The one that still runs is remembered for longer than the horizon.
    CHECK_FALSE(isAdmitted(gate.admit({"a", "2"}, Shard, {1, 2}, Start + Milliseconds(1001))));
}

TEST_CASE("Outputs beyond the bound are dropped, and the record says so")
{
    StartRecordLimits memory;
    memory.maxOutputBytes = 4;
    StartGate gate(memory);
    gate.admit({"a", "1"}, Shard, {1, 1}, Start);
    gate.admit({"a", "2"}, Shard, {1, 1}, Start);
    gate.finish({"a", "1"}, wire::StartState::SUCCEEDED, "xxx", 1);
    gate.finish({"a", "2"}, wire::StartState::SUCCEEDED, "yyy", 1);
    const auto first = gate.find({"a", "1"}, {1, 2});
    REQUIRE(first);
    CHECK(first->outputDropped);
    CHECK(gate.find({"a", "2"}, {1, 2})->output == "yyy");
    CHECK(gate.recordsOf({Shard}).size() == 2);
    CHECK(gate.recordsOf({Shard + 1}).empty());
}
