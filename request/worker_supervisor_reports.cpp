#include "request/worker_supervisor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

/** The part of WorkerSupervisor that tells what the worker can take, and that it has crashed. */
namespace marjoramferry {

/**
 * Reports the runs under which the worker crashed: those it confirmed, and those whose start broke off. Draws no
 * conclusion on when they end.
 */
void WorkerSupervisor::reportCrash(wire::CrashStatus::type status, const std::string &evidence, MonotonicTime now)
{
    if (!crashEvidence_.isNews(status) || worker_->leaving) {
        return;
    }
    // The crash is noticed only when a new connection is refused, or when the worker is back.
    const MonotonicTime crashedAt = crashEvidence_.crashTime(now);
    WorkerCrash crash{worker_->identity, crashedAt, {}, status};
    for (const auto &[key, run] : runs_) {
        if (run.isConfirmed || run.unansweredAt) {
            const MonotonicTime startedAt = run.isConfirmed ? run.confirmedAt : run.firstSentAt;
            const int ageMs = std::max(0, millisecondsBetween(startedAt, crashedAt));
            crash.runs.push_back(CrashedRun{key, run.request.queue, ageMs});
        }
    }
    if (crash.runs.empty()) {
        return;
    }
    crashEvidence_.recordReport(status, crashedAt, lastCallId_);
    const auto youngest = std::ranges::min_element(crash.runs, {}, &CrashedRun::ageMs);
    log(LogEvent::Level::Warning,
        status == wire::CrashStatus::DETECTED ? "worker_crashed" : "worker_crash_suspected",
        {{"worker", crash.worker.id},
         {"evidence", evidence},
         {"runs", absl::StrCat(crash.runs.size())},
         {"youngest_run", describe(youngest->key)},
         {"youngest_queue", youngest->queue},
         {"youngest_ms", absl::StrCat(youngest->ageMs)}});
    output_.crashes.push_back(std::move(crash));
}

/** Takes back the report of a crash of the current process. */
void WorkerSupervisor::retractCrash(const std::string &evidence)
{
    if (const auto crashedAt = crashEvidence_.retract()) {
        log(LogEvent::Level::Warning,
            "worker_crash_retracted",
            {{"worker", worker_->identity.id}, {"evidence", evidence}});
        output_.crashes.push_back(WorkerCrash{worker_->identity, *crashedAt, {}, wire::CrashStatus::RETRACTED});
    }
}

Demand WorkerSupervisor::claimedDemand() const
{
    Demand sum;
    for (const auto &[key, run] : runs_) {
        sum = sum + run.request.demand;
    }
    return sum;
}

bool WorkerSupervisor::canStartRuns() const
{
    return startObstacle().empty();
}

/** Why no run is started at present; empty if nothing stands in the way. */
std::string_view WorkerSupervisor::startObstacle() const
{
    if (!worker_) {
        return "no_worker";
    }
    if (worker_->leaving || isDraining_) {
        return isDraining_ ? "agent_leaving" : "worker_leaving";
    }
    if (!isAnnounced_) {
        return "not_announced";
    }
    if (!isReconciled_) {
        return "not_reconciled";
    }
    if (isContactLost()) {
        return "no_answer";
    }
    return lease_.isClockKnown() ? "" : "clock_unknown";
}

/** Logs when the worker begins or ceases to take runs, and whether a call is under way that may change that. */
void WorkerSupervisor::logAvailability()
{
    const std::string_view obstacle = startObstacle();
    if (std::exchange(loggedObstacle_, obstacle) == obstacle) {
        return;
    }
    log(LogEvent::Level::Info,
        obstacle.empty() ? "worker_takes_runs" : "worker_takes_no_runs",
        {{"worker", worker_ ? worker_->identity.id : ""},
         {"reason", std::string(obstacle)},
         {"runs", absl::StrCat(runs_.size())},
         {"pending_polls", absl::StrCat(pendingPolls_.size())}});
}

wire::WorkerState WorkerSupervisor::state() const
{
    wire::WorkerState state;
    if (worker_) {
        state.worker = worker_->identity.id;
        state.bornMs = worker_->identity.startTimeMs;
        state.serviceName = worker_->service;
        state.domain = worker_->domain;
        state.labels = worker_->labels;
        state.capacity = toWire(worker_->capacity);
    }
    return state;
}

wire::WorkerRoom WorkerSupervisor::freeCapacity() const
{
    wire::WorkerRoom result;
    if (worker_ && isAnnounced_) {
        Demand waiting;
        for (const RunRequest &request : queue_) {
            waiting = waiting + request.demand;
        }
        result.unclaimed = toWire(worker_->capacity - claimedDemand() - waiting);
        result.takesRuns = canStartRuns();
    }
    return result;
}

} // namespace marjoramferry
