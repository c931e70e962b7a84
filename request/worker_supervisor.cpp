#include "request/worker_supervisor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** Retries of a start with a higher attempt number or fence before the run is rejected. */
constexpr int MaxStartRetries = 8;

/**
 * Whether an order was placed for this process, as far as is known: older entries name no worker, and some workers
 * don't report their start time.
 */
bool isPlacedFor(const RunRequest &request, const WorkerIdentity &worker)
{
    const WorkerIdentity &chosen = request.worker;
    const bool isSameProcess
        = chosen.startTimeMs == worker.startTimeMs || chosen.startTimeMs == 0 || worker.startTimeMs == 0;
    return chosen.id.empty() || (chosen.id == worker.id && isSameProcess);
}

} // namespace

WorkerSupervisor::WorkerSupervisor(WorkerTiming timing, int64_t fence, const EntryLiveness &entryLiveness)
    : timing_(timing)
    , entryLiveness_(entryLiveness)
    , lease_(timing.leaseDuration)
    , contact_(static_cast<uint64_t>(fence))
    , fence_(fence)
    , unansweredStarts_(timing.lateCallTime)
{
}

void WorkerSupervisor::requestRun(RunRequest request, MonotonicTime now)
{
    if (isDraining_ || !worker_ || worker_->leaving) {
        rejectRun(request, isDraining_ ? "agent_leaving" : (worker_ ? "worker_leaving" : "no_worker"), now);
        return;
    }
    const auto place = std::ranges::upper_bound(queue_, request.rank, {}, &RunRequest::rank);
    queue_.insert(place, std::move(request));
    startQueuedRuns(now);
}

void WorkerSupervisor::withdrawRun(const RunOrderId &orderId, MonotonicTime now)
{
    const auto waiting = std::ranges::find(queue_, orderId, &RunRequest::orderId);
    if (waiting != queue_.end()) {
        const RunRequest request = *waiting;
        queue_.erase(waiting);
        rejectRun(request, "withdrawn", now);
        return;
    }
    const auto onWorker
        = std::ranges::find_if(runs_, [&](const auto &entry) { return entry.second.request.orderId == orderId; });
    if (onWorker != runs_.end()) {
        stopRun(onWorker->second, now);
    }
}

void WorkerSupervisor::withdrawSessionsBefore(const std::string &entryIncarnation, int64_t session, MonotonicTime now)
{
    const auto isAffected = [&](const RunOrderId &orderId) {
        return orderId.entryIncarnation == entryIncarnation && orderId.session < session;
    };
    rejectWaitingRuns("withdrawn", now, [&](const RunRequest &request) { return isAffected(request.orderId); });
    for (auto &[key, run] : runs_) {
        if (isAffected(run.request.orderId) && run.phase != Phase::Stopping) {
            stopRun(run, now);
        }
    }
}

/**
 * Rejects the waiting runs that were placed for an earlier worker: the present one may be of another service or without
 * the labels that they require, also if it has the same ID.
 */
void WorkerSupervisor::rejectMisplacedRuns(MonotonicTime now)
{
    if (!worker_) {
        return;
    }
    rejectWaitingRuns(
        "other_worker", now, [&](const RunRequest &request) { return !isPlacedFor(request, worker_->identity); });
}

void WorkerSupervisor::startQueuedRuns(MonotonicTime now)
{
    rejectMisplacedRuns(now);
    if (!canStartRuns()) {
        return;
    }
    Demand freeCapacity = worker_->capacity - claimedDemand();
    std::vector<RunRequest> stillQueued;
    for (RunRequest &request : std::exchange(queue_, {})) {
        // The worker can't tell two runs of the same task apart. All its runs share the lease that it already has.
        // Nor can the agent tell which process an earlier start of the task may reach while another one is announced.
        const bool mayStartLate = !candidates_.empty() && unansweredStarts_.hasStartOfTask(request.key);
        if (!request.demand.fitsIn(freeCapacity) || hasRunOfTask(request.key) || mayStartLate
            || latestLeaseEndFor(request.orderId) < std::max(now, lease_.latestEnd())) {
            stillQueued.push_back(std::move(request));
            continue;
        }
        freeCapacity = freeCapacity - request.demand;
        startRun(std::move(request), now);
    }
    queue_ = std::move(stillQueued);
    sendPollIfNeeded(now);
}

bool WorkerSupervisor::hasRunOfTask(const RunKey &key) const
{
    const auto from = runs_.lower_bound(RunKey{key.jobId, key.step, key.task, 0});
    return from != runs_.end() && from->first.isSameTask(key);
}

MonotonicTime WorkerSupervisor::latestLeaseEndFor(const RunOrderId &orderId) const
{
    return entryLiveness_.lastEcho(orderId) + timing_.leaseLimit;
}

/**
 * The worker has one lease for all its runs, so the run that has to end first limits it. Of an unknown run nobody knows
 * when that is, so it has to end with the lease that it has.
 */
MonotonicTime WorkerSupervisor::latestLeaseEnd() const
{
    if (!unknownRuns_.isEmpty()) {
        return MonotonicTime();
    }
    const auto first = std::ranges::min_element(runs_, {}, [](const auto &each) { return each.second.latestLeaseEnd; });
    return first == runs_.end() ? MonotonicTime::max() : first->second.latestLeaseEnd;
}

/** A run that is being stopped keeps its limit: its entry may be alive, but has withdrawn it and told its callers. */
void WorkerSupervisor::updateLatestLeaseEnds()
{
    for (auto &[key, run] : runs_) {
        if (run.phase != Phase::Stopping) {
            run.latestLeaseEnd = std::max(run.latestLeaseEnd, latestLeaseEndFor(run.request.orderId));
        }
    }
}

void WorkerSupervisor::startRun(RunRequest request, MonotonicTime now)
{
    const RunKey key = request.key;
    Run run;
    run.request = std::move(request);
    run.firstSentAt = now;
    run.latestLeaseEnd = latestLeaseEndFor(run.request.orderId);
    sendStart(runs_[key] = std::move(run), now);
}

void WorkerSupervisor::sendStart(Run &run, MonotonicTime now)
{
    const RunRequest &request = run.request;
    const MonotonicTime lastEcho = entryLiveness_.lastEcho(request.orderId.entryIncarnation);
    const MonotonicTime validUntil = entryLiveness_.validUntil(request.orderId);
    log(LogEvent::Level::Info,
        "run_start_sent",
        {{"request", request.requestId},
         {"run", describe(request.key)},
         {"worker", worker_->identity.id},
         {"fence", absl::StrCat(fence_)},
         {"free_cpu_millis", absl::StrCat(worker_->capacity.cpuMillis - claimedDemand().cpuMillis)},
         {"entry", request.orderId.entryIncarnation},
         {"last_echo_ms_ago", absl::StrCat(millisecondsBetween(lastEcho, now))},
         {"send", absl::StrCat(run.startsSent)}});
    run.startCallId = ++lastCallId_;
    run.fence = fence_;
    startCalls_[run.startCallId] = request.key;
    output_.calls.emplace_back(StartRun{run.startCallId,
                                        target(),
                                        request.key,
                                        request.spec,
                                        lease_.extend(now, latestLeaseEnd()),
                                        fence_,
                                        run.startsSent > 1 ? validUntil : std::min(validUntil, request.startDeadline),
                                        timing_.startTimeout * run.startsSent});
}

void WorkerSupervisor::handleReply(const WorkerReply &reply, MonotonicTime now)
{
    updateLatestLeaseEnds();
    if (reply.callId <= lastCallBeforeWorker_) {
        return;
    }
    const ListedProcess process = listedProcess(reply);
    if (process == ListedProcess::Earlier) {
        pendingPolls_.erase(reply.callId);
        sendPollIfNeeded(now);
        return;
    }
    if (process == ListedProcess::Later) {
        const WorkerIdentity later{worker_->identity.id, reply.listing->startTimeMs};
        endedProcesses_.add(worker_->identity, now);
        endedProcesses_.remove(later);
        const auto announced = findCandidate(later);
        handleRestart(later.startTimeMs, announced != candidates_.end() ? announced->since() : now, now);
    }
    if (process != ListedProcess::None) {
        lastListedCall_ = std::max(lastListedCall_, reply.callId);
    }
    if (reply.clockMs && isClockOfWorker(reply)) {
        lease_.observeClock(*reply.clockMs, now);
        worker_->clockMs = std::min(worker_->clockMs, *reply.clockMs);
    }
    updateContact(reply, now);
    crashEvidence_.recordReply(reply, lastCallId_, now);
    if (const auto status = crashEvidence_.statusOnRefusal(reply); status && worker_) {
        reportCrash(*status, "connection_refused", now);
    }
    if (crashEvidence_.isDisprovedBy(reply) && worker_) {
        retractCrash("process_answered");
    }
    if (const auto start = startCalls_.find(reply.callId); start != startCalls_.end()) {
        const RunKey key = start->second;
        startCalls_.erase(start);
        onStartReply(key, reply, now);
    } else if (const auto poll = pendingPolls_.find(reply.callId); poll != pendingPolls_.end()) {
        const PendingPoll sent = poll->second;
        pendingPolls_.erase(poll);
        onPollReply(sent, reply, now);
    }
    if (worker_) {
        judgeCandidates(reply, now);
    }
    startQueuedRuns(now);
    releaseEnds();
    sendPollIfNeeded(now);
}

void WorkerSupervisor::onStartReply(const RunKey &key, const WorkerReply &reply, MonotonicTime now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.startCallId != reply.callId) {
        return;
    }
    Run &run = found->second;
    switch (reply.outcome) {
    case CallOutcome::Accepted:
        confirmRun(run, now);
        return;
    case CallOutcome::NotSent:
        if (run.startsSent > 1) {
            break;
        }
        finishRun(key, wire::RunOutcome::NOT_STARTED, "not_sent", now, listingNeededSince(key, now));
        return;
    case CallOutcome::Unresolved:
        run.unansweredAt = run.unansweredAt.value_or(now);
        unansweredStarts_.add(key, now);
        log(LogEvent::Level::Warning,
            "start_unanswered",
            {{"request", run.request.requestId}, {"run", describe(key)}, {"reason", reply.errorMessage}});
        if (run.phase == Phase::Starting && run.startsSent < timing_.maxUnansweredStarts && mayStartAgain(run.request)
            && now < entryLiveness_.validUntil(run.request.orderId)) {
            // The worker treats a repeated StartRun as the same run.
            ++run.startsSent;
            sendStart(run, now);
            return;
        }
        markUnresolved(run, now);
        return;
    case CallOutcome::Rejected:
        break;
    }
    onStartRejected(run, reply, now);
}

/** Leaves the run unresolved until the worker has accepted a higher fence. */
void WorkerSupervisor::markUnresolved(Run &run, MonotonicTime now)
{
    if (run.phase == Phase::Starting) {
        run.phase = Phase::Unresolved;
    }
    raiseFence(fence_ + 1);
    sendPoll(Milliseconds(0), false, now);
}

void WorkerSupervisor::onStartRejected(Run &run, const WorkerReply &reply, MonotonicTime now)
{
    const RunKey key = run.request.key;
    if (run.startsSent > 1 && reply.rejection != Rejection::OtherIncarnation) {
        markUnresolved(run, now); // The rejection of the second StartRun does not show whether the first took effect.
        return;
    }
    const RunRequest request = run.request;
    const bool isStopping = run.phase == Phase::Stopping;
    if (reply.rejection == Rejection::StaleFence) {
        raiseFence(run.fence == fence_ ? fence_ + FenceIncrement : fence_);
    }
    const bool canRetry = (reply.rejection == Rejection::OldAttempt || reply.rejection == Rejection::StaleFence)
        && mayStartAgain(request);
    if (canRetry && !isStopping && run.retries < MaxStartRetries) {
        const int retries = run.retries + 1;
        RunRequest retried = request;
        runs_.erase(key);
        retried.key.attempt += reply.rejection == Rejection::OldAttempt ? 1 : 0;
        startRun(retried, now);
        runs_[retried.key].retries = retries;
        return;
    }
    finishRun(key, wire::RunOutcome::NOT_STARTED, rejectionName(reply.rejection), now, listingNeededSince(key, now));
    if (reply.rejection == Rejection::OtherIncarnation) {
        handleReplacement(now);
    }
}

void WorkerSupervisor::confirmRun(Run &run, MonotonicTime now)
{
    lastReplyAt_ = now;
    lease_.recordReply();
    run.isConfirmed = true;
    run.confirmedAt = now;
    if (run.phase == Phase::Stopping) {
        run.stopSentAt = MonotonicTime();
        stopRun(run, now);
    } else {
        run.phase = Phase::Running;
    }
}

void WorkerSupervisor::stopRun(Run &run, MonotonicTime now)
{
    if (run.phase == Phase::Stopping && now - run.stopSentAt < timing_.retryDelay) {
        return;
    }
    if (run.phase != Phase::Stopping) {
        log(LogEvent::Level::Info,
            "run_stop_requested",
            {{"request", run.request.requestId}, {"run", describe(run.request.key)}});
    }
    run.phase = Phase::Stopping;
    run.stopSentAt = now;
    if (run.isConfirmed) {
        output_.calls.emplace_back(StopRun{++lastCallId_, target(), run.request.key, fence_, timing_.callTimeout});
    }
    sendPollIfNeeded(now);
}

void WorkerSupervisor::raiseFence(int64_t atLeast)
{
    fence_ = std::max(fence_, atLeast);
}

void WorkerSupervisor::tick(MonotonicTime now)
{
    updateLatestLeaseEnds();
    rejectOverdueRuns(now);
    unansweredStarts_.removeExpired(now);
    releaseEnds();
    if (!worker_) {
        return;
    }
    for (auto &[key, run] : runs_) {
        if (run.phase == Phase::Stopping) {
            stopRun(run, now);
        }
    }
    if (lease_.hasUnansweredCalls() && !isIdle() && lease_.isExpired(now) && !isLeaseUnknown_) {
        log(LogEvent::Level::Warning,
            "lease_lapsed",
            {{"worker", worker_->identity.id},
             {"runs", absl::StrCat(runs_.size())},
             {"silent_ms", absl::StrCat(millisecondsBetween(lastReplyAt_, now))}});
        if (crashEvidence_.hasRefused()) {
            reportCrash(wire::CrashStatus::DETECTED, "lease_lapsed", now);
        }
        dropAllRuns(crashEvidence_.isDetected() ? "worker_crashed" : "lease_lapsed", now);
        sendPoll(Milliseconds(0), false, now); // A pending poll carries the earlier fence.
    }
    const bool isSilent
        = now - lastAnnouncementAt_ > timing_.announcementTimeout && now - lastReplyAt_ > timing_.announcementTimeout;
    if (isSilent && (isIdle() || lease_.isExpired(now))) {
        log(LogEvent::Level::Warning, "worker_lost", {{"worker", worker_->identity.id}});
        dropAllRuns("worker_lost", now);
        forgetWorker();
        return;
    }
    if (hasDeparted_ && isIdle()) {
        forgetWorker();
        return;
    }
    acceptUnopposedCandidate(now);
    startQueuedRuns(now);
    sendPollIfNeeded(now);
}

void WorkerSupervisor::rejectOverdueRuns(MonotonicTime now)
{
    rejectWaitingRuns("no_room", now, [&](const RunRequest &request) { return now > request.startDeadline; });
}

void WorkerSupervisor::beginDrain(MonotonicTime now)
{
    isDraining_ = true;
    rejectWaitingRuns("agent_leaving", now);
    sendPollIfNeeded(now);
}

/** A start that was sent before may be sent to the process it was placed for, once that has announced itself. */
bool WorkerSupervisor::mayStartAgain(const RunRequest &request) const
{
    return isAnnounced_ && isPlacedFor(request, worker_->identity);
}

WorkerTarget WorkerSupervisor::target() const
{
    return worker_ ? WorkerTarget{worker_->address, worker_->identity.id} : WorkerTarget{};
}

void WorkerSupervisor::log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields)
{
    output_.logs.push_back(LogEvent{level, event, std::move(fields)});
}

WorkerSupervisor::Output WorkerSupervisor::takeOutput()
{
    logAvailability();
    return std::exchange(output_, {});
}

} // namespace marjoramferry
