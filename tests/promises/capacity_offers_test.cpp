#include "tests/support/queue_load.h"
#include "tests/support/work_simulation.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

constexpr Milliseconds WarmUp{500};
constexpr Milliseconds LoadDuration{5000};
constexpr Milliseconds SettlingTime{3500};
constexpr Milliseconds BurstFrom{1500};
constexpr Milliseconds BurstTo{4500};
/** Of the priority 2 queue, as in the burst that the requirements describe. */
constexpr double BurstFactor = 2.4;
/** Bound of the requirements page. */
constexpr double MaxDispatchesPerTask = 1.1;

struct BurstResult
{
    double dispatchesPerTask = 0;
    double onTimeShare = 0; ///< Of all jobs.
    std::string summary;
};

/** A burst of the queue of the lowest priority; workers hold about ten tasks each. */
BurstResult runBurst(int entries, bool offers, double utilization, uint64_t seed, bool hasFaults = false)
{
    SimulationOptions options;
    options.entries = entries;
    options.agents = 24;
    options.domains = 3;
    options.capacityCpuMillis = 64'000;
    options.sizeFactors = {1, 1, 1.5};
    options.speedFactors = {1, 1, 1.3};
    options.seed = seed;
    options.offers = offers;
    constexpr double Cores = 64 * 8 * (1 + 1 + 1.5 * 1.3);
    WorkSimulation simulation(options);
    simulation.runFor(WarmUp);
    std::vector<QueueLoad> loads = steadyLoad(Cores, utilization, LoadDuration);
    QueueLoad burst = loads.back();
    burst.jobsPerSecond *= BurstFactor - 1;
    burst.from = BurstFrom;
    burst.to = BurstTo;
    loads.push_back(burst);
    const MonotonicTime begin = simulation.now();
    if (hasFaults) {
        simulation.schedule(BurstFrom + Milliseconds(500), [&] { simulation.killEntry(0, Milliseconds(1000)); });
        simulation.schedule(BurstFrom + Milliseconds(900), [&] { simulation.killAgent(2, Milliseconds(300)); });
        simulation.schedule(BurstFrom + Milliseconds(1500), [&] { simulation.freezeEntry(1, Milliseconds(400)); });
    }
    const int64_t messagesBefore = simulation.messagesSent();
    submitLoad(simulation, loads, seed);
    simulation.runFor(LoadDuration);
    const int64_t messages = simulation.messagesSent() - messagesBefore;
    simulation.runFor(SettlingTime);
    CHECK(absl::StrJoin(simulation.violations(), "\n").empty());
    BurstResult result;
    result.dispatchesPerTask
        = static_cast<double>(simulation.dispatches()) / static_cast<double>(simulation.dispatchedTasks());
    result.onTimeShare = simulation.onTimeShare("");
    const auto share
        = [&](const std::string &queue) { return simulation.onTimeShare(queue, begin + BurstFrom, begin + BurstTo); };
    result.summary
        = absl::StrCat("entries=", entries, " offers=", offers, " utilization=", utilization, " seed=", seed);
    absl::StrAppend(
        &result.summary, " dispatches_per_task=", result.dispatchesPerTask, " in_time=", result.onTimeShare);
    absl::StrAppend(&result.summary, " burst: quote=", share("quote"), " status=", share("status"));
    absl::StrAppend(
        &result.summary, " survey=", share("survey"), " messages_per_s=", messages * 1000 / LoadDuration.count());
    for (const auto &[reason, count] : simulation.returnedDispatches()) {
        absl::StrAppend(&result.summary, " ", reason, "=", count);
    }
    return result;
}

} // namespace

// Guards against orders to workers whose capacity another entry has taken, which come back and cost the job time.
// The shares in time are compared over several seeds: the order of single events decides on some jobs of each run.
TEST_CASE("Burst with offers: under 1.1 dispatches per task, and as many jobs in time as without")
{
    const int entries = GENERATE(9, 13);
    const double utilization = GENERATE(0.65, 0.75);
    double onTimeOff = 0;
    double onTimeOn = 0;
    for (const uint64_t seed : {1, 2, 3, 4}) {
        const BurstResult off = runBurst(entries, false, utilization, seed);
        const BurstResult on = runBurst(entries, true, utilization, seed);
        UNSCOPED_INFO(off.summary << "\n" << on.summary);
        CHECK(on.dispatchesPerTask < MaxDispatchesPerTask);
        onTimeOff += off.onTimeShare;
        onTimeOn += on.onTimeShare;
    }
    CHECK(onTimeOn >= onTimeOff);
}

// Guards against offers that an entry holds when it crashes or hangs, or that an agent forgets.
TEST_CASE(
    "Burst with offers, a crashed entry, a hung entry and a crashed agent: as many jobs in time as without offers")
{
    double onTimeOff = 0;
    double onTimeOn = 0;
    for (const uint64_t seed : {1, 2, 3, 4}) {
        const BurstResult off = runBurst(9, false, 0.75, seed, true);
        const BurstResult on = runBurst(9, true, 0.75, seed, true);
        UNSCOPED_INFO(off.summary << "\n" << on.summary);
        onTimeOff += off.onTimeShare;
        onTimeOn += on.onTimeShare;
    }
    CHECK(onTimeOn >= onTimeOff);
}
