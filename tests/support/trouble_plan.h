#pragma once

#include "tests/support/work_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramferry::testing {

enum class Trouble {
    FreezeAgent,
    KillAgent,
    FreezeEntry,
    KillEntry,
    CutBothDirections,
    CutToAgent,
    CutToEntry,
    CutOffAgent,
    CutOffEntry,
    RestartWorker,
    ReplaceWorker,
    ResetCallers,
    GiveUpCalls,
};
constexpr int TroubleKinds = static_cast<int>(Trouble::GiveUpCalls) + 1;

struct PlannedTrouble
{
    Trouble kind = Trouble::FreezeAgent;
    int atMs = 0;
    int entry = 0;
    int agent = 0;
    int durationMs = 0;
};

struct Plan
{
    SimulationOptions options;
    std::vector<PlannedTrouble> troubles;
};

std::string describe(const PlannedTrouble &trouble);

/** The seed of the plan of a pair. */
uint64_t planSeed(uint64_t seed, Trouble first, Trouble second);

/** A plan with two occurrences of the pair, and the shares of late and unanswered calls. */
Plan makePlan(uint64_t seed, Trouble first, Trouble second);

/** Plays the plan beside jobs whose callers send them again, and returns the violated invariants. */
std::vector<std::string> findViolations(const Plan &plan);

} // namespace marjoramferry::testing
