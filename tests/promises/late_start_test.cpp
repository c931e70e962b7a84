#include "tests/support/trouble_plan.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

constexpr int Entries = 3;
/** With few agents, a task that is started again often returns to its worker. */
constexpr std::array AgentCounts{2, 5};

/** What happens to a process beside a worker that returns. */
enum class Beside { Nothing, KillAgent, DrainAgent, KillEntry, ResetCallers, FreezeAgentBriefly };
constexpr int BesideKinds = static_cast<int>(Beside::FreezeAgentBriefly) + 1;

enum class Stops { Executed, Late, Lost };
constexpr int StopsKinds = static_cast<int>(Stops::Lost) + 1;

void apply(WorkSimulation &simulation, Beside kind, int entry, int agent, Milliseconds duration)
{
    constexpr Milliseconds BriefFreeze{150};
    switch (kind) {
    case Beside::Nothing:
        return;
    case Beside::KillAgent:
        return simulation.killAgent(agent, duration);
    case Beside::DrainAgent:
        return simulation.drainAgent(agent);
    case Beside::KillEntry:
        return simulation.killEntry(entry, duration);
    case Beside::ResetCallers:
        return simulation.resetCallers(entry, 1);
    case Beside::FreezeAgentBriefly:
        return simulation.freezeAgent(agent, BriefFreeze);
    }
}

/** Jobs of several tasks of 250 to 1,400 ms, which a worker's absence of a second leaves unfinished. */
void scheduleJobs(WorkSimulation &simulation, uint64_t seed, int agents)
{
    const int jobs = 30 * agents;
    const Milliseconds interval(240 / agents);
    constexpr Milliseconds Deadline{4000};
    std::mt19937_64 random(seed);
    for (int i = 0; i < jobs; ++i) {
        const int runMs = std::array{250, 700, 1400}.at(random() % 3);
        const SimulatedJob job{absl::StrCat("job-", i), "survey", 3, runMs, runMs, 3100};
        const int entry = static_cast<int>(random() % Entries);
        simulation.schedule(interval * i, [=, &simulation] { simulation.submit(job, entry, Deadline); });
    }
}

/** Returns the violated invariants of a play in which workers return while half of the starts to them are late. */
std::vector<std::string> play(uint64_t seed, Stops stops, Beside beside)
{
    constexpr double LateStarts = 0.4;
    constexpr double DisturbedStops = 0.7;
    constexpr int Returns = 14;
    SimulationOptions options;
    options.seed = seed;
    options.entries = Entries;
    const int agents = AgentCounts.at(seed % AgentCounts.size());
    options.agents = agents;
    options.callersReturn = true;
    options.lateOrderShare = LateStarts;
    options.lateStopShare = stops == Stops::Late ? DisturbedStops : 0;
    options.lostStopShare = stops == Stops::Lost ? DisturbedStops : 0;
    options.toleratesUnsentRuns = true;
    WorkSimulation simulation(options);
    simulation.runFor(Milliseconds(500));
    scheduleJobs(simulation, seed, agents);
    std::mt19937_64 random(seed);
    const auto draw = [&](int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); };
    for (int i = 0; i < Returns; ++i) {
        const int agent = draw(0, agents - 1);
        const int entry = draw(0, Entries - 1);
        const Milliseconds at(draw(800, 7500));
        const Milliseconds downtime(draw(0, 1) == 0 ? draw(20, 400) : draw(400, 1500));
        const Milliseconds duration(draw(100, 1800));
        simulation.schedule(at, [=, &simulation] { simulation.returnWorker(agent, downtime); });
        simulation.schedule(at + Milliseconds(draw(-200, 1500)),
                            [=, &simulation] { apply(simulation, beside, entry, agent, duration); });
    }
    simulation.runFor(Milliseconds(20'000));
    std::vector<std::string> violations = simulation.violations();
    for (int entry = 0; entry < Entries; ++entry) {
        const int completeBefore = simulation.completeCalls();
        for (int i = 0; i < agents; ++i) { // Some starts are late.
            simulation.submit(
                {absl::StrCat("last-", entry, "-", i), "quote", 2, 60, 60, 3100}, entry, Milliseconds(3000));
        }
        simulation.runFor(Milliseconds(4000));
        if (simulation.completeCalls() == completeBefore) {
            violations.push_back(absl::StrCat("entry ", entry, " serves no job after the workers have returned"));
        }
    }
    return violations;
}

void checkPlays(uint64_t firstSeed, uint64_t seeds)
{
    for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        for (int kind = 0; kind < StopsKinds * BesideKinds; ++kind) {
            const int stops = kind / BesideKinds;
            const int beside = kind % BesideKinds;
            INFO("seed " << seed << ", stops " << stops << ", beside " << beside);
            checkNoViolation(play(seed, static_cast<Stops>(stops), static_cast<Beside>(beside)));
        }
    }
}

} // namespace

// Guards against a run that is reported as ended while its agent sees another one of the task: a worker returns under
// its ID and executes starts of before, with its agent awake, and stops are lost or late.
TEST_CASE("Late starts reach workers that return: no run is reported as ended while its agent sees another one")
{
    checkPlays(1, 2);
}

TEST_CASE("Hunt: late starts reach workers that return", "[.hunt]")
{
    checkPlays(3, 60);
}
