#include "request/idle_capacity.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr Milliseconds IdleTime{100};
const MonotonicTime Start{std::chrono::hours(1)};

MonotonicTime after(int milliseconds)
{
    return Start + Milliseconds(milliseconds);
}

} // namespace

// Guards against late jobs that are rejected beside capacity that nobody uses.
TEST_CASE("Capacity is idle once it has been free for the idle time, however often it is reported")
{
    IdleCapacity capacity(IdleTime);
    CHECK(capacity.at(Start) == 0);
    for (int elapsed = 0; elapsed < 100; elapsed += 11) {
        capacity.record(10'000, after(elapsed));
        CHECK(capacity.at(after(elapsed)) == 0);
    }
    CHECK(capacity.at(after(99)) == 0);
    CHECK(capacity.at(after(100)) == 10'000);
}

// Guards against late jobs that fill a worker as soon as one of its many runs ends.
TEST_CASE("A worker that was full and frees capacity has none idle before the idle time")
{
    IdleCapacity capacity(IdleTime);
    capacity.record(0, Start);
    capacity.record(4000, after(500));
    CHECK(capacity.at(after(599)) == 0);
    CHECK(capacity.at(after(600)) == 4000);
}

// Guards against late jobs that use capacity for which jobs that can be in time compete.
TEST_CASE("A run that takes capacity of a worker makes the rest count as used for the idle time")
{
    IdleCapacity capacity(IdleTime);
    capacity.record(16'000, Start);
    capacity.record(10'000, after(200));
    CHECK(capacity.at(after(200)) == 0);
    CHECK(capacity.at(after(299)) == 0);
    CHECK(capacity.at(after(300)) == 10'000);
}

TEST_CASE("Capacity that is freed step by step is idle step by step")
{
    IdleCapacity capacity(IdleTime);
    capacity.record(2000, Start);
    for (int step = 1; step <= 30; ++step) {
        capacity.record(2000 + step * 100, after(step * 10));
    }
    CHECK(capacity.at(after(300)) == 4000);
    CHECK(capacity.at(after(309)) == 4000);
    CHECK(capacity.at(after(310)) == 4100);
    CHECK(capacity.at(after(400)) == 5000);
}

TEST_CASE("Orders beyond the free capacity leave none idle")
{
    IdleCapacity capacity(IdleTime);
    capacity.record(-2000, Start);
    CHECK(capacity.at(after(200)) == 0);
}
