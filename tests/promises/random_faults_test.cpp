#include "tests/support/fault_plan.h"

#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

rc::Gen<Fault> anyFault(std::vector<FaultKind> kinds)
{
    return rc::gen::build<Fault>(rc::gen::set(&Fault::kind, rc::gen::elementOf(std::move(kinds))),
                                 rc::gen::set(&Fault::atMs, rc::gen::inRange(0, 4000)),
                                 rc::gen::set(&Fault::target, rc::gen::inRange(0, 30)),
                                 rc::gen::set(&Fault::durationMs, rc::gen::inRange(50, 6000)));
}

/** Checks that plans of up to that many faults of these kinds break no promise. */
void checkPlans(const std::string &name, const std::vector<FaultKind> &kinds, size_t mostFaults)
{
    const bool holds = rc::check(name, [&] {
        const auto count = *rc::gen::inRange<size_t>(1, mostFaults + 1);
        const auto faults = *rc::gen::container<std::vector<Fault>>(count, anyFault(kinds));
        SystemOptions options;
        options.seed = *rc::gen::arbitrary<uint32_t>();
        Load load;
        // At the faster pace more is asked for than the slots can do, so that tasks wait.
        load.paceMs = *rc::gen::elementOf(std::vector<int>{25, 50});
        const auto violations = findViolations(runPlan(options, faults, load), CheckBounds());
        if (!violations.empty()) {
            RC_FAIL(absl::StrJoin(violations, "\n"));
        }
    });
    CHECK(holds);
}

const std::vector<FaultKind> NodeFaults = {FaultKind::KillEntry,
                                           FaultKind::RestartEntryPlanned,
                                           FaultKind::FreezeEntry,
                                           FaultKind::KillAgent,
                                           FaultKind::RestartAgentPlanned,
                                           FaultKind::FreezeAgent,
                                           FaultKind::WorkerFailsAll,
                                           FaultKind::EndpointLeaves};
const std::vector<FaultKind> LinkFaults = {FaultKind::CutEntryFromTable, FaultKind::CutEntries, FaultKind::CutLink};
const std::vector<FaultKind> TableFaultKinds
    = {FaultKind::TableOutage, FaultKind::TableLosesAnswers, FaultKind::TableSlow};
const std::vector<FaultKind> OperatorFaults = {FaultKind::DomainOut, FaultKind::DomainRace, FaultKind::CancelWave};

std::vector<FaultKind> all()
{
    std::vector<FaultKind> kinds;
    for (const auto &group : {NodeFaults, LinkFaults, TableFaultKinds, OperatorFaults}) {
        kinds.insert(kinds.end(), group.begin(), group.end());
    }
    return kinds;
}

} // namespace

TEST_CASE("The promises hold while nodes die, freeze and restart")
{
    checkPlans("nodes", NodeFaults, 4);
}

TEST_CASE("The promises hold while links are cut")
{
    checkPlans("links", LinkFaults, 5);
}

TEST_CASE("The promises hold while the table service is down, slow or loses answers")
{
    checkPlans("table", TableFaultKinds, 3);
}

TEST_CASE("The promises hold while operators race and callers cancel")
{
    checkPlans("operators", OperatorFaults, 6);
}

TEST_CASE("The promises hold under several faults at once")
{
    checkPlans("all", all(), 8);
}
