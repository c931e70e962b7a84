#include "request/worker_lease.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr Milliseconds Length{600};
const MonotonicTime Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("A lease reaches its length ahead on the worker's clock")
{
    WorkerLease lease(Length);
    CHECK_FALSE(lease.isReady());
    lease.noteClock(5000, Start);
    CHECK(lease.extend(Start) == 5600);
    CHECK(lease.extend(Start + Milliseconds(100)) == 5700);
}

TEST_CASE("Calls after one without an answer do not push the end of the lease further")
{
    WorkerLease lease(Length);
    lease.noteClock(5000, Start);
    const int64_t end = lease.extend(Start);
    lease.noteSilence();
    CHECK(lease.extend(Start + Milliseconds(300)) == end);
    CHECK_FALSE(lease.hasLapsed(Start + Length));
    CHECK(lease.hasLapsed(Start + Length + Milliseconds(125)));
    lease.noteAnswer();
    CHECK(lease.extend(Start + Milliseconds(400)) == end + 400);
}

TEST_CASE("A clock that a late message tells does not set the lease back")
{
    WorkerLease lease(Length);
    lease.noteClock(5000, Start);
    lease.noteClock(4000, Start + Milliseconds(10));
    CHECK(lease.extend(Start + Milliseconds(10)) == 5610);
}
