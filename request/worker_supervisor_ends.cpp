#include "request/worker_supervisor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

/**
 * The part of WorkerSupervisor that reports the ends of runs. An entry that is told of an end starts the task again
 * elsewhere, so no end is reported while another run of the task may be on this worker.
 */
namespace marjoramferry {

void WorkerSupervisor::finishRun(const RunKey &key,
                                 wire::RunOutcome::type outcome,
                                 const std::string &reason,
                                 MonotonicTime now,
                                 std::optional<MonotonicTime> listingSince)
{
    const auto found = runs_.find(key);
    const Run &run = found->second;
    const int ranMs = run.isConfirmed ? millisecondsBetween(run.confirmedAt, now) : 0;
    log(LogEvent::Level::Info,
        "run_ended",
        {{"request", run.request.requestId},
         {"run", describe(key)},
         {"outcome", wire::_RunOutcome_VALUES_TO_NAMES.at(outcome)},
         {"reason", reason},
         {"ran_ms", absl::StrCat(ranMs)}});
    ReportedEnd ended{key, EndedRun{run.request.orderId, outcome, reason, ranMs}, listingSince};
    startCalls_.erase(run.startCallId);
    runs_.erase(found);
    reportEnd(std::move(ended));
}

void WorkerSupervisor::rejectRun(const RunRequest &request, const std::string &reason, MonotonicTime now)
{
    log(LogEvent::Level::Info,
        "run_rejected",
        {{"request", request.requestId}, {"run", describe(request.key)}, {"reason", reason}});
    reportEnd(ReportedEnd{request.key,
                          EndedRun{request.orderId, wire::RunOutcome::NOT_STARTED, reason, 0},
                          listingNeededSince(request.key, now)});
}

void WorkerSupervisor::rejectWaitingRuns(const std::string &reason,
                                         MonotonicTime now,
                                         const std::function<bool(const RunRequest &)> &isRejected)
{
    for (const RunRequest &request : queue_) {
        if (isRejected(request)) {
            rejectRun(request, reason, now);
        }
    }
    std::erase_if(queue_, isRejected);
}

void WorkerSupervisor::rejectWaitingRuns(const std::string &reason, MonotonicTime now)
{
    rejectWaitingRuns(reason, now, [](const RunRequest &) { return true; });
}

/** Ends all runs. Once the worker has accepted the raised fence, it executes no earlier start. */
void WorkerSupervisor::dropAllRuns(const std::string &reason, MonotonicTime now)
{
    if (!runs_.empty()) {
        raiseFence(fence_ + 1);
        requiredFence_ = fence_;
        isReconciled_ = false;
    }
    unknownRuns_.clear();
    while (!runs_.empty()) {
        finishRun(runs_.begin()->first, wire::RunOutcome::GONE, reason, now);
    }
    rejectWaitingRuns(reason, now);
    startCalls_.clear();
    releaseEnds([](const ReportedEnd &) { return true; });
}

/** Reports an end, or withholds it while another run of the task may be on the worker. A task that is done ends so. */
void WorkerSupervisor::reportEnd(ReportedEnd reported)
{
    const bool isDone = reported.end.outcome == wire::RunOutcome::DONE;
    const std::string_view obstacle = isDone ? "" : endObstacle(reported);
    if (obstacle.empty()) {
        output_.ends.push_back(std::move(reported.end));
        return;
    }
    log(LogEvent::Level::Warning,
        "run_end_withheld",
        {{"run", describe(reported.key)}, {"reason", std::string(obstacle)}});
    withheldEnds_.push_back(std::move(reported));
}

/**
 * When an earlier start of the task is unanswered, the next process of the worker may have executed it before the agent
 * learned of that process, so only a listing shows that it has not. Nothing runs where connections are refused.
 */
std::optional<MonotonicTime> WorkerSupervisor::listingNeededSince(const RunKey &key, MonotonicTime now) const
{
    const bool mayHaveStartedLate = worker_ && !crashEvidence_.hasRefused() && unansweredStarts_.hasStartOfTask(key);
    return mayHaveStartedLate ? std::optional(now) : std::nullopt;
}

/** Why another run of the task may be on the worker; empty if none can be. */
std::string_view WorkerSupervisor::endObstacle(const ReportedEnd &reported) const
{
    if (unknownRuns_.hasRunOfTask(reported.key)) {
        return "unknown_run";
    }
    if (hasRunOfTask(reported.key)) {
        return "other_run";
    }
    const bool isListed = !reported.listingSince || listedAllAt_ >= *reported.listingSince;
    return isListed ? "" : "not_listed";
}

void WorkerSupervisor::releaseEnds()
{
    releaseEnds([this](const ReportedEnd &each) { return endObstacle(each).empty(); });
}

void WorkerSupervisor::releaseEnds(const std::function<bool(const ReportedEnd &)> &isReleased)
{
    for (const ReportedEnd &each : withheldEnds_) {
        if (isReleased(each)) {
            log(LogEvent::Level::Info, "run_end_released", {{"run", describe(each.key)}});
            output_.ends.push_back(each.end);
        }
    }
    std::erase_if(withheldEnds_, isReleased);
}

} // namespace marjoramferry
