#pragma once

#include "tests/support/virtual_system.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace marjoramferry::testing {

enum class FaultKind {
    KillEntry,
    DrainAndRestartEntry,
    FreezeEntry,
    DisconnectEntryFromTable,
    DisconnectEntries,
    DisconnectAgent,
    KillAgent,
    DrainAndRestartAgent,
    FreezeAgent,
    TableOutage,
    TableLosesResponses,
    TableSlow,
    TakeDomainOut,
    ConcurrentDomainChanges, ///< Two entries receive opposite changes of the same domain at the same time.
    CancelRecentJobs,
    EndpointFailsAllTasks,
    EndpointLeaves,
};

struct Fault
{
    FaultKind kind = FaultKind::KillEntry;
    int atMs = 0; ///< Time since the start of the load.
    int target = 0; ///< Index of an entry, agent or domain, modulo their number.
    int durationMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault);

/** Jobs submitted at a constant rate. */
struct Load
{
    int jobs = 160;
    int intervalMs = 25;
    int deadlineMs = 4000;
};

/** Runs the load while injecting the faults, allows time for recovery, and returns the history. */
History runWithFaults(const SystemOptions &options, const std::vector<Fault> &faults, const Load &load);

} // namespace marjoramferry::testing
