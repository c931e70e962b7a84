#include "tests/support/trouble_plan.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

void checkAllPairs(uint64_t firstSeed, uint64_t seeds)
{
    for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        for (int pair = 0; pair < FirstFurtherTrouble * FirstFurtherTrouble; ++pair) {
            checkPlan(seed,
                      static_cast<Trouble>(pair / FirstFurtherTrouble),
                      static_cast<Trouble>(pair % FirstFurtherTrouble));
        }
    }
}

} // namespace

// Guards against a run that outlasts the 1.3 s after which its caller sends the job again, to another entry.
TEST_CASE("A job sent again beside each trouble and each other one: no task runs twice at the same time")
{
    checkAllPairs(1, 1);
}

// Guards against an agent that wakes and repeats an unanswered start for an entry that has given the task to another.
TEST_CASE("An agent that wakes with an unanswered start: no task runs twice at the same time")
{
    checkPlan(159, Trouble::FreezeAgent, Trouble::FreezeAgent);
    checkPlan(172, Trouble::FreezeAgent, Trouble::CutBothDirections);
}

// Guards against the start of a run whose order is sent again together with its withdrawal, over a new connection and
// with a fresh echo, when its caller has sent the job to another entry.
TEST_CASE("An order that arrives with its withdrawal after a cut: no task runs twice at the same time")
{
    checkPlan(509, Trouble::CutToAgent, Trouble::ResetCallers);
    checkPlan(511, Trouble::CutOffEntry, Trouble::CutOffEntry);
}

// Guards against a start that outlasts its process: the successor has its ID, no fence, and a clock that starts anew,
// on which the lease of the start has not expired. The agent stands still, so it fences nothing off.
TEST_CASE("A late start reaches the successor of its worker under the same ID: no task runs twice at the same time")
{
    checkPlan(153, Trouble::FreezeAgent, Trouble::RestartWorker);
}

// 40 seeds of each pair, by hand.
TEST_CASE("Hunt: a job sent again beside each trouble and each other one", "[.hunt]")
{
    checkAllPairs(2, 40);
}
