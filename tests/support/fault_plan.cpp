#include "tests/support/fault_plan.h"

#include <absl/strings/str_cat.h>

#include <ostream>

namespace marjoramferry::testing {

namespace {

constexpr Milliseconds RecoveryTime{20'000};
constexpr Milliseconds RestartDelay{300};

void restartEntry(VirtualSystem &system, int index, Milliseconds delay)
{
    system.schedule(delay, [&system, index] {
        system.killEntry(index);
        system.startEntry(index);
    });
}

void restartAgent(VirtualSystem &system, int index, Milliseconds delay)
{
    system.schedule(delay, [&system, index] {
        system.killAgent(index);
        system.startAgent(index);
    });
}

void changeDomain(VirtualSystem &system, int entry, int domain, const char *direction)
{
    if (!system.isStopped(entry)) {
        system.sendRequest(
            entry, "POST", absl::StrCat("/v1/domains/", VirtualSystem::domainName(domain), "/", direction));
    }
}

void cancelJobs(VirtualSystem &system, int entry)
{
    constexpr int CancelledJobs = 10;
    const size_t submitted = system.history().submissions.size();
    for (size_t index = submitted - std::min<size_t>(submitted, CancelledJobs);
         index < submitted && !system.isStopped(entry);
         ++index) {
        system.sendRequest(entry, "DELETE", "/v1/jobs/" + system.history().submissions[index].jobId);
    }
}

void applyTableFault(VirtualSystem &system, const Fault &fault, Milliseconds duration)
{
    TableFaults &faults = system.tableFaults();
    faults.outage = fault.kind == FaultKind::TableOutage;
    faults.loseAnswers = fault.kind == FaultKind::TableLosesResponses;
    faults.latency = Milliseconds(fault.kind == FaultKind::TableSlow ? 400 : 3);
    system.schedule(duration, [&faults] { faults = TableFaults(); });
}

void applyFault(VirtualSystem &system, const SystemOptions &options, const Fault &fault)
{
    const int entry = fault.target % options.entries;
    const int agent = fault.target % options.agents;
    const int domain = fault.target % options.domains;
    const Milliseconds duration(fault.durationMs);
    switch (fault.kind) {
    case FaultKind::KillEntry:
        system.killEntry(entry);
        restartEntry(system, entry, duration + RestartDelay);
        return;
    case FaultKind::DrainAndRestartEntry:
        system.drainEntry(entry);
        restartEntry(system, entry, Milliseconds(8000));
        return;
    case FaultKind::FreezeEntry:
        system.freezeEntry(entry, duration);
        return;
    case FaultKind::DisconnectEntryFromTable:
        system.disconnectTable(entry, duration);
        return;
    case FaultKind::DisconnectEntries:
        system.disconnectEntries(entry, (entry + 1) % options.entries, duration);
        return;
    case FaultKind::DisconnectAgent:
        system.disconnectAgent(entry, agent, duration);
        return;
    case FaultKind::KillAgent:
        system.killAgent(agent);
        restartAgent(system, agent, duration + RestartDelay);
        return;
    case FaultKind::DrainAndRestartAgent:
        system.drainAgent(agent);
        restartAgent(system, agent, Milliseconds(4000));
        return;
    case FaultKind::FreezeAgent:
        system.freezeAgent(agent, duration);
        return;
    case FaultKind::TableOutage:
    case FaultKind::TableLosesResponses:
    case FaultKind::TableSlow:
        applyTableFault(system, fault, duration);
        return;
    case FaultKind::TakeDomainOut:
        changeDomain(system, entry, domain, "out");
        system.schedule(duration, [&system, entry, domain] { changeDomain(system, entry, domain, "in"); });
        return;
    case FaultKind::ConcurrentDomainChanges:
        changeDomain(system, entry, domain, "out");
        changeDomain(system, (entry + 1) % options.entries, domain, "in");
        system.schedule(duration, [&system, entry, domain] { changeDomain(system, entry, domain, "in"); });
        return;
    case FaultKind::CancelRecentJobs:
        cancelJobs(system, entry);
        return;
    case FaultKind::EndpointFailsAllTasks:
        system.setFailAllTasks(agent, true);
        system.schedule(duration, [&system, agent] { system.setFailAllTasks(agent, false); });
        return;
    case FaultKind::EndpointLeaves:
        system.announceLeaving(agent);
        return;
    }
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << "Fault{" << static_cast<int>(fault.kind) << ", " << fault.atMs << ", " << fault.target << ", "
               << fault.durationMs << "}";
}

History runWithFaults(const SystemOptions &options, const std::vector<Fault> &faults, const Load &load)
{
    VirtualSystem system(options);
    system.bringUp();
    for (const Fault &fault : faults) {
        system.schedule(Milliseconds(fault.atMs), [&system, &options, fault] { applyFault(system, options, fault); });
    }
    for (int job = 0; job < load.jobs; ++job) {
        const std::string jobId = "job" + std::to_string(job);
        const int entry = job % options.entries;
        std::vector<int> taskMs;
        for (int task = 0; task <= job % 5; ++task) {
            taskMs.push_back(50 + (job * 37 + task * 53) % 400);
        }
        const auto submit = [&system, &load, jobId, taskMs](int target) {
            if (!system.isStopped(target)) {
                system.submit(jobId, target, taskMs, load.deadlineMs);
            }
        };
        const Milliseconds at(job * load.intervalMs);
        system.schedule(at, [submit, entry] { submit(entry); });
        // Every third job is submitted again at another entry, as by a caller that timed out.
        if (job % 3 == 0) {
            system.schedule(at + Milliseconds(300 * (job % 20)),
                            [submit, next = (entry + 1) % options.entries] { submit(next); });
        }
    }
    system.run(Milliseconds(load.jobs * load.intervalMs) + RecoveryTime);
    return system.history();
}

} // namespace marjoramferry::testing
