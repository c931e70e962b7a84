#include "tests/support/fault_plan.h"

#include <absl/strings/str_cat.h>

#include <ostream>

namespace marjoramferry::testing {

namespace {

constexpr Milliseconds Healing{20'000};
constexpr Milliseconds RestartPause{300};

void restartEntry(VirtualSystem &system, int index, Milliseconds delay)
{
    system.after(delay, [&system, index] {
        system.killEntry(index);
        system.startEntry(index);
    });
}

void restartAgent(VirtualSystem &system, int index, Milliseconds delay)
{
    system.after(delay, [&system, index] {
        system.killAgent(index);
        system.startAgent(index);
    });
}

void changeDomain(VirtualSystem &system, int entry, int domain, const char *direction)
{
    if (!system.isStopped(entry)) {
        system.call(entry, "POST", absl::StrCat("/v1/domains/", VirtualSystem::domainOf(domain), "/", direction));
    }
}

void cancelJobs(VirtualSystem &system, int entry)
{
    constexpr int Wave = 10;
    const size_t known = system.history().submissions.size();
    for (size_t index = known - std::min<size_t>(known, Wave); index < known && !system.isStopped(entry); ++index) {
        system.call(entry, "DELETE", "/v1/jobs/" + system.history().submissions[index].jobId);
    }
}

void applyToTable(VirtualSystem &system, const Fault &fault, Milliseconds duration)
{
    TableFaults &faults = system.tableFaults();
    faults.outage = fault.kind == FaultKind::TableOutage;
    faults.loseAnswers = fault.kind == FaultKind::TableLosesAnswers;
    faults.latency = Milliseconds(fault.kind == FaultKind::TableSlow ? 400 : 3);
    system.after(duration, [&faults] { faults = TableFaults(); });
}

void apply(VirtualSystem &system, const SystemOptions &options, const Fault &fault)
{
    const int entry = fault.target % options.entries;
    const int agent = fault.target % options.agents;
    const int domain = fault.target % options.domains;
    const Milliseconds duration(fault.durationMs);
    switch (fault.kind) {
    case FaultKind::KillEntry:
        system.killEntry(entry);
        restartEntry(system, entry, duration + RestartPause);
        return;
    case FaultKind::RestartEntryPlanned:
        system.drainEntry(entry);
        restartEntry(system, entry, Milliseconds(8000));
        return;
    case FaultKind::FreezeEntry:
        system.freezeEntry(entry, duration);
        return;
    case FaultKind::CutEntryFromTable:
        system.cutTable(entry, duration);
        return;
    case FaultKind::CutEntries:
        system.cutEntries(entry, (entry + 1) % options.entries, duration);
        return;
    case FaultKind::CutLink:
        system.cutLink(entry, agent, duration);
        return;
    case FaultKind::KillAgent:
        system.killAgent(agent);
        restartAgent(system, agent, duration + RestartPause);
        return;
    case FaultKind::RestartAgentPlanned:
        system.drainAgent(agent);
        restartAgent(system, agent, Milliseconds(4000));
        return;
    case FaultKind::FreezeAgent:
        system.freezeAgent(agent, duration);
        return;
    case FaultKind::TableOutage:
    case FaultKind::TableLosesAnswers:
    case FaultKind::TableSlow:
        applyToTable(system, fault, duration);
        return;
    case FaultKind::DomainOut:
        changeDomain(system, entry, domain, "out");
        system.after(duration, [&system, entry, domain] { changeDomain(system, entry, domain, "in"); });
        return;
    case FaultKind::DomainRace:
        changeDomain(system, entry, domain, "out");
        changeDomain(system, (entry + 1) % options.entries, domain, "in");
        system.after(duration, [&system, entry, domain] { changeDomain(system, entry, domain, "in"); });
        return;
    case FaultKind::CancelWave:
        cancelJobs(system, entry);
        return;
    case FaultKind::WorkerFailsAll:
        system.failEverythingAt(agent, true);
        system.after(duration, [&system, agent] { system.failEverythingAt(agent, false); });
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

History runPlan(const SystemOptions &options, const std::vector<Fault> &faults, const Load &load)
{
    VirtualSystem system(options);
    system.bringUp();
    for (const Fault &fault : faults) {
        system.after(Milliseconds(fault.atMs), [&system, &options, fault] { apply(system, options, fault); });
    }
    for (int job = 0; job < load.jobs; ++job) {
        const std::string jobId = "job" + std::to_string(job);
        const int entry = job % options.entries;
        std::vector<int> taskMs;
        for (int task = 0; task <= job % 5; ++task) {
            taskMs.push_back(50 + (job * 37 + task * 53) % 400);
        }
        const auto submit = [&system, &load, jobId, taskMs](int where) {
            if (!system.isStopped(where)) {
                system.submit(jobId, where, taskMs, load.deadlineMs);
            }
        };
        const Milliseconds at(job * load.paceMs);
        system.after(at, [submit, entry] { submit(entry); });
        // Every third job is believed lost by its caller, who brings it to another entry.
        if (job % 3 == 0) {
            system.after(at + Milliseconds(300 * (job % 20)),
                         [submit, next = (entry + 1) % options.entries] { submit(next); });
        }
    }
    system.run(Milliseconds(load.jobs * load.paceMs) + Healing);
    return system.history();
}

} // namespace marjoramferry::testing
