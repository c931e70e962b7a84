#pragma once

#include "tests/support/virtual_system.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace marjoramferry::testing {

enum class FaultKind {
    KillEntry,
    RestartEntryPlanned,
    FreezeEntry,
    CutEntryFromTable,
    CutEntries,
    CutLink,
    KillAgent,
    RestartAgentPlanned,
    FreezeAgent,
    TableOutage,
    TableLosesAnswers,
    TableSlow,
    DomainOut,
    DomainRace, ///< Two operators take the same domain out and in at two entries at once.
    CancelWave,
    WorkerFailsAll,
    EndpointLeaves,
};

/** One fault: what, when after the load began, at which node, for how long. */
struct Fault
{
    FaultKind kind = FaultKind::KillEntry;
    int atMs = 0;
    int target = 0;
    int durationMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault);

/** The load that a plan runs under. */
struct Load
{
    int jobs = 160;
    int paceMs = 25;
    int deadlineMs = 4000;
};

/** Runs the load under the faults, lets everything heal, and returns the history. */
History runPlan(const SystemOptions &options, const std::vector<Fault> &faults, const Load &load);

} // namespace marjoramferry::testing
