#include "request/worker_lease.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr Milliseconds Length{600};
const MonotonicTime Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("Each extension sets the lease end to the full length from now on the worker's clock")
{
    WorkerLease lease(Length);
    CHECK_FALSE(lease.isClockKnown());
    lease.observeClock(5000, Start);
    CHECK(lease.extend(Start) == 5600);
    CHECK(lease.extend(Start + Milliseconds(100)) == 5700);
}

TEST_CASE("The lease end does not advance while calls are unanswered")
{
    WorkerLease lease(Length);
    lease.observeClock(5000, Start);
    const int64_t end = lease.extend(Start);
    lease.recordMissingReply();
    CHECK(lease.extend(Start + Milliseconds(300)) == end);
    CHECK_FALSE(lease.isExpired(Start + Length));
    CHECK(lease.isExpired(Start + Length + Milliseconds(125)));
    lease.recordReply();
    CHECK(lease.extend(Start + Milliseconds(400)) == end + 400);
}

TEST_CASE("An older clock value from a delayed message does not move the lease back")
{
    WorkerLease lease(Length);
    lease.observeClock(5000, Start);
    lease.observeClock(4000, Start + Milliseconds(10));
    CHECK(lease.extend(Start + Milliseconds(10)) == 5610);
}
