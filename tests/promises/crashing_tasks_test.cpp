#include "tests/support/queue_load.h"
#include "tests/support/work_simulation.h"

#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

constexpr Milliseconds WarmUp{500};
/** A task may be started again after two crashes, and by the rules of the platform never three times after three. */
constexpr int MaxCrashesOfTask = 3;

constexpr Milliseconds DayLength{34'000};
constexpr Milliseconds CrashesFrom{5000};
constexpr Milliseconds CrashesTo{15'000};
constexpr double CrashingShare = 0.1;
constexpr double Utilization = 0.6;
constexpr double MinOnTimeShareOfOthers = 0.95;

/** Three entries and eleven workers of unequal capacity. */
SimulationOptions smallDeployment(uint64_t seed)
{
    SimulationOptions options;
    options.entries = 3;
    options.agents = 11;
    options.domains = 3;
    options.capacityCpuMillis = 64'000;
    options.sizeFactors = {1, 1, 1.5};
    options.seed = seed;
    return options;
}

constexpr double Cores = 64 * (8 + 3 * 1.5);

/** Steady load, in which some of the jobs of @p queue crash their workers for ten seconds. */
std::vector<QueueLoad> loadWithCrashes(const std::string &queue)
{
    std::vector<QueueLoad> loads = steadyLoad(Cores, Utilization, DayLength);
    const auto steady = std::ranges::find(loads, queue, &QueueLoad::queue);
    QueueLoad crashing = *steady;
    crashing.crashingShare = CrashingShare;
    crashing.from = CrashesFrom;
    crashing.to = CrashesTo;
    QueueLoad after = *steady;
    after.from = CrashesTo;
    steady->to = CrashesFrom;
    loads.push_back(crashing);
    loads.push_back(after);
    return loads;
}

int mostCrashesOfOneTask(const WorkSimulation &simulation)
{
    const auto &crashes = simulation.crashesByTask();
    return crashes.empty()
        ? 0
        : std::ranges::max_element(crashes, {}, [](const auto &each) { return each.second; })->second;
}

} // namespace

// Guards against a task that crashes worker after worker, each time on the next order or submission of its job.
TEST_CASE("A task that crashes its workers is given up and its job shown as failed, also by an entry new to the job")
{
    WorkSimulation simulation(smallDeployment(1));
    simulation.runFor(WarmUp);
    SimulatedJob job{"deadly", "status", 2, 200, 200, 6200};
    job.crashingTask = GENERATE(0, 1);
    simulation.submit(job, 0, Milliseconds(12'000));
    if (GENERATE(false, true)) {
        // The first crash was reported; the caller submits the job again to another entry.
        simulation.schedule(Milliseconds(100), [&simulation] { simulation.killEntry(0, Milliseconds(3000)); });
    }
    simulation.runFor(Milliseconds(20'000));
    CHECK(mostCrashesOfOneTask(simulation) >= 2);
    CHECK(mostCrashesOfOneTask(simulation) <= MaxCrashesOfTask);
    REQUIRE(simulation.calls().back().response);
    CHECK(simulation.calls().back().response->status == ResponseStatus::Failed);
    CHECK(absl::StrJoin(simulation.violations(), "\n").empty());
}

// Guards against one queue whose tasks crash their workers taking the workers of all queues.
TEST_CASE("A tenth of one queue's jobs crash their workers: the other queues are served, at least 95% on time")
{
    const uint64_t seed = GENERATE(1, 2, 3);
    const std::string queue = GENERATE("quote", "survey");
    WorkSimulation simulation(smallDeployment(seed));
    simulation.runFor(WarmUp);
    submitLoad(simulation, loadWithCrashes(queue), seed);
    simulation.runFor(DayLength + Milliseconds(6000));
    CHECK(absl::StrJoin(simulation.violations(), "\n").empty());
    CHECK(mostCrashesOfOneTask(simulation) <= MaxCrashesOfTask);
    for (const std::string other : {"quote", "status", "survey"}) {
        if (other != queue) {
            CAPTURE(other, queue, seed);
            CHECK(simulation.onTimeShare(other) >= MinOnTimeShareOfOthers);
        }
    }
}
