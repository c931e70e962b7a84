#include "tests/support/fault_plan.h"

#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

rc::Gen<Fault> arbitraryFault(std::vector<FaultKind> kinds)
{
    return rc::gen::build<Fault>(rc::gen::set(&Fault::kind, rc::gen::elementOf(std::move(kinds))),
                                 rc::gen::set(&Fault::atMs, rc::gen::inRange(0, 4000)),
                                 rc::gen::set(&Fault::target, rc::gen::inRange(0, 30)),
                                 rc::gen::set(&Fault::durationMs, rc::gen::inRange(50, 6000)));
}

/** Checks that random plans of up to @p maxFaults faults of these kinds violate no invariant. */
void checkFaultPlans(const std::string &name, const std::vector<FaultKind> &kinds, size_t maxFaults)
{
    const bool succeeded = rc::check(name, [&] {
        const auto count = *rc::gen::inRange<size_t>(1, maxFaults + 1);
        const auto faults = *rc::gen::container<std::vector<Fault>>(count, arbitraryFault(kinds));
        SystemOptions options;
        options.seed = *rc::gen::arbitrary<uint32_t>();
        Load load;
        // The shorter interval exceeds the capacity of the slots, so that tasks have to wait.
        load.intervalMs = *rc::gen::elementOf(std::vector<int>{25, 50});
        const auto violations = findViolations(runWithFaults(options, faults, load), CheckBounds());
        if (!violations.empty()) {
            RC_FAIL(absl::StrJoin(violations, "\n"));
        }
    });
    CHECK(succeeded);
}

const std::vector<FaultKind> NodeFaults = {FaultKind::KillEntry,
                                           FaultKind::DrainAndRestartEntry,
                                           FaultKind::FreezeEntry,
                                           FaultKind::KillAgent,
                                           FaultKind::DrainAndRestartAgent,
                                           FaultKind::FreezeAgent,
                                           FaultKind::EndpointFailsAllTasks,
                                           FaultKind::EndpointLeaves};
const std::vector<FaultKind> LinkFaults
    = {FaultKind::DisconnectEntryFromTable, FaultKind::DisconnectEntries, FaultKind::DisconnectAgent};
const std::vector<FaultKind> TableFaultKinds
    = {FaultKind::TableOutage, FaultKind::TableLosesResponses, FaultKind::TableSlow};
const std::vector<FaultKind> OperatorFaults
    = {FaultKind::TakeDomainOut, FaultKind::ConcurrentDomainChanges, FaultKind::CancelRecentJobs};

std::vector<FaultKind> allFaults()
{
    std::vector<FaultKind> kinds;
    for (const auto &group : {NodeFaults, LinkFaults, TableFaultKinds, OperatorFaults}) {
        kinds.insert(kinds.end(), group.begin(), group.end());
    }
    return kinds;
}

} // namespace

TEST_CASE("Invariants hold while nodes crash, freeze and restart")
{
    checkFaultPlans("nodes", NodeFaults, 4);
}

TEST_CASE("Invariants hold while links are disconnected")
{
    checkFaultPlans("links", LinkFaults, 5);
}

TEST_CASE("Invariants hold while the table service is down, slow or loses responses")
{
    checkFaultPlans("table", TableFaultKinds, 3);
}

TEST_CASE("Invariants hold under concurrent operator changes and job cancellations")
{
    checkFaultPlans("operators", OperatorFaults, 6);
}

TEST_CASE("Invariants hold under combined faults")
{
    checkFaultPlans("all", allFaults(), 8);
}
