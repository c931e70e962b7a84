#include "request/worker_lease.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr Milliseconds Length{600};
constexpr MonotonicTime Unlimited = MonotonicTime::max();
const MonotonicTime Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("Each extension sets the lease end to the full length from now on the worker's clock")
{
    WorkerLease lease(Length);
    CHECK_FALSE(lease.isClockKnown());
    lease.observeClock(5000, Start);
    CHECK(lease.extend(Start, Unlimited) == 5600);
    CHECK(lease.extend(Start + Milliseconds(100), Unlimited) == 5700);
}

TEST_CASE("The lease end does not advance while calls are unanswered")
{
    WorkerLease lease(Length);
    lease.observeClock(5000, Start);
    const int64_t end = lease.extend(Start, Unlimited);
    lease.recordMissingReply();
    CHECK(lease.extend(Start + Milliseconds(300), Unlimited) == end);
    CHECK_FALSE(lease.isExpired(Start + Length));
    CHECK(lease.isExpired(Start + Length + Milliseconds(125)));
    lease.recordReply();
    CHECK(lease.extend(Start + Milliseconds(400), Unlimited) == end + 400);
}

TEST_CASE("An older clock value from a delayed message does not move the lease back")
{
    WorkerLease lease(Length);
    lease.observeClock(5000, Start);
    lease.observeClock(4000, Start + Milliseconds(10));
    CHECK(lease.extend(Start + Milliseconds(10), Unlimited) == 5610);
}

// Guards against a limit that holds only for a worker whose clock is exact, or only if its clock was read just now.
TEST_CASE("A limited lease ends before the limit, though the worker's clock is slow and was read long ago")
{
    for (const int ageMs : {0, 200, 3000, 10'000}) {
        WorkerLease lease(Length);
        lease.observeClock(5000, Start);
        const MonotonicTime now = Start + Milliseconds(ageMs);
        const MonotonicTime latest = now + Milliseconds(500);
        const int64_t endMs = lease.extend(now, latest);
        constexpr double ClockRate = 0.98;
        CHECK(5000 + millisecondsBetween(Start, latest) * ClockRate >= static_cast<double>(endMs));
        CHECK(lease.latestEnd() <= latest);
        CHECK(lease.extend(now + Milliseconds(10), latest) == endMs);
    }
}

// Guards against runs that are taken for ended while their lease still runs on a slow clock.
TEST_CASE("A lease isn't taken for expired before it has ended on a clock that was read long ago")
{
    WorkerLease lease(Length);
    lease.observeClock(5000, Start);
    const MonotonicTime sent = Start + Milliseconds(10'000);
    const int64_t endMs = lease.extend(sent, Unlimited);
    lease.recordMissingReply();
    constexpr double ClockRate = 0.98;
    const auto end = Start + std::chrono::duration_cast<Milliseconds>(Milliseconds(endMs - 5000) / ClockRate);
    CHECK_FALSE(lease.isExpired(end + Milliseconds(50)));
}
