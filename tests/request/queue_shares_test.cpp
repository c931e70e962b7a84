#include "request/queue_shares.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr int StepMs = 10;

struct Load
{
    std::string queue;
    int priority = 0;
    double rate = 0; ///< Offered work per millisecond.
};

/** Offers the loads for @p duration and dispatches at most @p capacity of them, in their order, while jobs wait. */
MonotonicTime
run(QueueShares &shares, const std::vector<Load> &loads, double capacity, MonotonicTime from, int durationMs)
{
    for (int at = 0; at < durationMs; at += StepMs) {
        const MonotonicTime now = from + Milliseconds(at);
        double left = capacity;
        for (const Load &load : loads) {
            shares.recordOffered(load.queue, load.priority, load.rate * StepMs, now);
            const double dispatched = std::min(left, load.rate);
            shares.recordDispatched(load.queue, dispatched * StepMs, now);
            left -= dispatched;
        }
        shares.endPass(left <= 0, now);
    }
    return from + Milliseconds(durationMs);
}

} // namespace

// Guards against a burst of one queue that displaces the jobs of another one of the same priority.
TEST_CASE("A queue that bursts is beyond its share, a queue beside it that doesn't is not")
{
    QueueShares shares;
    const MonotonicTime burst = run(shares, {{"calm", 1, 300}, {"burst", 1, 400}}, 1000, Start, 5000);
    const MonotonicTime now = run(shares, {{"calm", 1, 300}, {"burst", 1, 1600}}, 1000, burst, 6000);
    CHECK(shares.capacity().rate() == Approx(1000).epsilon(0.05));
    CHECK_FALSE(shares.isBeyondShare("calm", now));
    CHECK(shares.shareOf("burst", now) == Approx(700).epsilon(0.05));
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        CHECK(shares.takeShare("calm", 50, now));
        taken += shares.takeShare("burst", 50, now) ? 1 : 0;
    }
    CHECK(taken == Approx(100 * 700 / 1600).margin(3));
}

// Guards against a burst of less urgent work that takes capacity from more urgent queues, or is blamed on them.
TEST_CASE("Capacity is divided by priority first, and no queue loses what it used before the shortage")
{
    QueueShares shares;
    const MonotonicTime shortage
        = run(shares, {{"urgent", 0, 200}, {"usual", 1, 300}, {"bulk", 2, 300}}, 1000, Start, 5000);
    SECTION("the least urgent queue bursts")
    {
        const MonotonicTime now
            = run(shares, {{"urgent", 0, 200}, {"usual", 1, 300}, {"bulk", 2, 900}}, 1000, shortage, 3000);
        CHECK(shares.shareOf("bulk", now) == Approx(500).epsilon(0.05));
        CHECK(shares.isBeyondShare("bulk", now));
        CHECK_FALSE(shares.isBeyondShare("usual", now));
    }
    SECTION("the most urgent queue bursts")
    {
        const MonotonicTime now
            = run(shares, {{"urgent", 0, 600}, {"usual", 1, 300}, {"bulk", 2, 300}}, 1000, shortage, 3000);
        CHECK_FALSE(shares.isBeyondShare("urgent", now));
        CHECK(shares.shareOf("bulk", now) == Approx(300).epsilon(0.05));
    }
}

// Guards against the estimate of before a loss of workers, with which jobs are admitted that can't be served.
TEST_CASE("The capacity estimate follows a loss of workers within 300 ms")
{
    QueueShares shares;
    shares.followCapacity(20'000);
    const MonotonicTime loss = run(shares, {{"usual", 1, 1500}}, 1000, Start, 3000);
    CHECK(shares.capacity().rate() == Approx(1000).epsilon(0.05));
    shares.followCapacity(10'000);
    run(shares, {{"usual", 1, 1500}}, 500, loss, 300);
    CHECK(shares.capacity().rate() == Approx(500).epsilon(0.1));
}

// Guards against shares of an entry that has just started, which has measured neither its queues nor its capacity.
TEST_CASE("No queue is beyond its share before there is a second of measurements")
{
    QueueShares shares;
    const MonotonicTime now = run(shares, {{"bulk", 2, 3000}}, 1000, Start, 900);
    CHECK_FALSE(shares.isMeasured(now));
    CHECK(shares.takeShare("bulk", 1'000'000, now));
}
