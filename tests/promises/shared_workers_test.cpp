#include "tests/support/work_world.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

enum class WorkFault {
    KillEntry,
    KillAgent,
    DrainAgent,
    FreezeEntry,
    FreezeAgent,
    CutBoth,
    CutToAgent,
    CutToEntry,
    RestartWorker,
    RenewWorker,
    Stall
};

struct PlannedFault
{
    WorkFault kind = WorkFault::KillEntry;
    int atMs = 0;
    int entry = 0;
    int agent = 0;
    int spanMs = 0;
};

std::ostream &operator<<(std::ostream &out, const PlannedFault &fault)
{
    return out << "fault " << static_cast<int>(fault.kind) << " at " << fault.atMs << " entry " << fault.entry
               << " agent " << fault.agent << " for " << fault.spanMs;
}

rc::Gen<PlannedFault> anyFault()
{
    return rc::gen::build<PlannedFault>(
        rc::gen::set(&PlannedFault::kind,
                     rc::gen::map(rc::gen::inRange(0, static_cast<int>(WorkFault::Stall) + 1),
                                  [](int kind) { return static_cast<WorkFault>(kind); })),
        rc::gen::set(&PlannedFault::atMs, rc::gen::inRange(0, 4000)),
        rc::gen::set(&PlannedFault::entry, rc::gen::inRange(0, 3)),
        rc::gen::set(&PlannedFault::agent, rc::gen::inRange(0, 5)),
        rc::gen::set(&PlannedFault::spanMs, rc::gen::inRange(50, 4000)));
}

void strike(WorkWorld &world, const PlannedFault &fault)
{
    const Milliseconds span(fault.spanMs);
    switch (fault.kind) {
    case WorkFault::KillEntry:
        return world.killEntry(fault.entry, span);
    case WorkFault::KillAgent:
        return world.killAgent(fault.agent, span);
    case WorkFault::DrainAgent:
        return world.drainAgent(fault.agent);
    case WorkFault::FreezeEntry:
        return world.freezeEntry(fault.entry, span);
    case WorkFault::FreezeAgent:
        return world.freezeAgent(fault.agent, span);
    case WorkFault::CutBoth:
        return world.cut(fault.entry, fault.agent, true, true, span);
    case WorkFault::CutToAgent:
        return world.cut(fault.entry, fault.agent, true, false, span);
    case WorkFault::CutToEntry:
        return world.cut(fault.entry, fault.agent, false, true, span);
    case WorkFault::RestartWorker:
        return world.restartWorker(fault.agent, true);
    case WorkFault::RenewWorker:
        return world.restartWorker(fault.agent, false);
    case WorkFault::Stall:
        world.worker(fault.agent).hangsNewRuns = true;
        return world.after(span, [&world, fault] { world.worker(fault.agent).hangsNewRuns = false; });
    }
}

/** A counter's load: small wide jobs, and long narrow ones, at any entry. */
void load(WorkWorld &world, int jobs, int paceMs, uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int i = 0; i < jobs; ++i) {
        const int kind = static_cast<int>(random() % 3);
        CounterJob job{absl::StrCat("job-", i), "quote", 8, 60, 60, 6200};
        if (kind == 1) {
            job = {job.id, "survey", 4, 700, 700, 6200};
        } else if (kind == 2) {
            job = {job.id, "status", 2, 200, 200, 6200};
        }
        const int entry = static_cast<int>(random() % 3);
        world.after(Milliseconds(i * paceMs), [=, &world] { world.submit(job, entry, Milliseconds(3000)); });
    }
}

} // namespace

TEST_CASE("On a calm day every job is complete")
{
    WorkWorld world(WorldOptions{});
    world.runFor(Milliseconds(500));
    load(world, 100, 60, 1); // Four fifths of what the workers can do.
    world.runFor(Milliseconds(12'000));
    CHECK(absl::StrJoin(world.violations(), "\n").empty());
    CHECK(world.complete() == 100);
}

TEST_CASE("Burst of 1.45 times the workers' room: the most urgent queue is served, and most of what there is room for")
{
    WorldOptions options;
    options.agents = 10;
    options.capacityMillis = 64'000;
    WorkWorld world(options);
    world.runFor(Milliseconds(500));
    load(world, 500, 8, 3); // 929 cores of work for each second, for four seconds, on 640 cores.
    world.runFor(Milliseconds(10'000));
    CHECK(absl::StrJoin(world.violations(), "\n").empty());
    // The quotes are a fifth of the work and come first; all jobs together have room for two thirds.
    CHECK(world.inTime("quote") >= 0.75);
    CHECK(world.inTime("") >= 0.5);
    // A caller that is refused hears so within 35% of the 3 s that it would wait.
    CHECK(world.longestRejection() <= Milliseconds(1060));
}

TEST_CASE("Late orders never make a task run twice at once or overfill a worker")
{
    WorldOptions options;
    options.lateOrders = 0.1;
    WorkWorld world(options);
    world.runFor(Milliseconds(500));
    load(world, 200, 80, 2); // Three fifths of what the workers can do.
    world.runFor(Milliseconds(20'000));
    CHECK(absl::StrJoin(world.violations(), "\n").empty());
    CHECK(world.complete() == 200);
}

TEST_CASE("No task runs twice at once, no worker is overfilled and no answer is false under any faults")
{
    const bool holds = rc::check("faults", [] {
        const auto count = *rc::gen::inRange<size_t>(1, 8);
        const auto faults = *rc::gen::container<std::vector<PlannedFault>>(count, anyFault());
        WorldOptions options;
        options.seed = *rc::gen::arbitrary<uint32_t>();
        options.lateOrders = *rc::gen::element(0.0, 0.08);
        WorkWorld world(options);
        world.runFor(Milliseconds(500));
        load(world, 120, *rc::gen::element(15, 40), options.seed);
        for (const PlannedFault &fault : faults) {
            world.after(Milliseconds(fault.atMs), [&world, fault] { strike(world, fault); });
        }
        world.runFor(Milliseconds(14'000));
        const auto broken = world.violations();
        if (!broken.empty()) {
            RC_FAIL(absl::StrJoin(broken, "\n"));
        }
    });
    CHECK(holds);
}
