#include "request/worker_supervisor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

/** The part of WorkerSupervisor that polls the worker: for the ends of runs, to renew their lease, and to learn whether
 * it is there. */
namespace marjoramferry {

/**
 * Records what the reply shows of whether the worker accepts calls. A start without an answer shows nothing: it is
 * sent again, and the poll that resolves it shows whether the worker is there.
 */
void WorkerSupervisor::updateContact(const WorkerReply &reply, MonotonicTime now)
{
    if (reply.callId <= lastCallBeforeProcess_) {
        return;
    }
    const bool isPoll = pendingPolls_.contains(reply.callId);
    if (isPoll ? hasUsableListing(reply) : reply.outcome == CallOutcome::Accepted) {
        contact_.recordAnswer(reply.callId);
    } else if (isPoll && reply.rejection != Rejection::StaleFence) {
        contact_.recordFailedPoll(reply, now);
    } else if (reply.isRefused || reply.rejection == Rejection::Unhealthy || reply.rejection == Rejection::Malformed) {
        contact_.recordFailedCall(reply.callId, now);
    }
}

/** Without a clock, no lease can be requested for the runs that a listing allows to start. */
bool WorkerSupervisor::hasUsableListing(const WorkerReply &reply) const
{
    return reply.outcome == CallOutcome::Accepted && reply.listing && lease_.isClockKnown();
}

/** Whether the worker is not known to accept calls. */
bool WorkerSupervisor::isContactLost() const
{
    return contact_.isLost() || lease_.hasUnansweredCalls();
}

void WorkerSupervisor::onPollReply(const PendingPoll &poll, const WorkerReply &reply, MonotonicTime now)
{
    if (hasUsableListing(reply)) {
        lastReplyAt_ = now;
        lease_.recordReply();
        acceptedFence_ = std::max(acceptedFence_, poll.fence);
        if (isLeaseUnknown_ && poll.fence >= requiredFence_) {
            lease_.assumeExtendedTo(now + timing_.longestLease);
            isLeaseUnknown_ = false;
        }
        lastEndAcknowledged_ = std::max(lastEndAcknowledged_, poll.acknowledgedEnd);
        onListing(poll, *reply.listing, now);
        return;
    }
    if (reply.outcome == CallOutcome::Rejected) {
        log(LogEvent::Level::Warning,
            "poll_rejected",
            {{"worker", worker_ ? worker_->identity.id : ""}, {"reason", rejectionName(reply.rejection)}});
        if (reply.rejection == Rejection::StaleFence && poll.fence == fence_) {
            raiseFence(fence_ + FenceIncrement);
            sendPoll(Milliseconds(0), false, now);
        } else if (reply.rejection == Rejection::OtherIncarnation) {
            handleReplacement(now);
        } else if (lastReplyAt_ <= poll.sentAt) {
            lease_.recordMissingReply(); // The lease was not extended, and polls are repeated after a delay.
        }
        return;
    }
    if (lastReplyAt_ > poll.sentAt) {
        return; // The worker has answered another call since.
    }
    if (!lease_.hasUnansweredCalls()) {
        log(LogEvent::Level::Warning,
            "poll_failed",
            {{"worker", worker_ ? worker_->identity.id : ""}, {"reason", reply.errorMessage}});
    }
    lease_.recordMissingReply();
}

void WorkerSupervisor::onListing(const PendingPoll &poll, const RunListing &listing, MonotonicTime now)
{
    if (!worker_) {
        return;
    }
    recordUnknownRuns(poll, listing, now);
    for (const ListedEnd &end : listing.ended) {
        if (end.number > lastEndSeen_) {
            onRunEnded(end, now);
            lastEndSeen_ = end.number;
        }
    }
    reconcileRuns(poll, listing, now);
    stopUnknownRuns(poll, listing, now);
}

void WorkerSupervisor::onRunEnded(const ListedEnd &end, MonotonicTime now)
{
    if (!runs_.contains(end.key)) {
        return;
    }
    switch (end.kind) {
    case EndKind::Done:
        finishRun(end.key, wire::RunOutcome::DONE, "done", now);
        return;
    case EndKind::Failed:
        finishRun(end.key, wire::RunOutcome::FAILED, "failed", now);
        return;
    case EndKind::Stopped:
        finishRun(end.key, wire::RunOutcome::GONE, "stopped", now);
        return;
    case EndKind::LeaseExpired:
        finishRun(end.key, wire::RunOutcome::GONE, "lapsed", now);
        return;
    case EndKind::Broken:
        finishRun(end.key, wire::RunOutcome::GONE, "broken", now);
        return;
    }
}

void WorkerSupervisor::reconcileRuns(const PendingPoll &poll, const RunListing &listing, MonotonicTime now)
{
    std::vector<std::pair<RunKey, wire::RunOutcome::type>> absent;
    for (auto &[key, run] : runs_) {
        const bool isListed = std::ranges::find(listing.running, key) != listing.running.end();
        if (isListed) {
            if (!run.isConfirmed && run.phase != Phase::Starting) {
                confirmRun(run, now);
            }
            continue;
        }
        if (!listing.isComplete) {
            continue;
        }
        // A start with a fence below the one the worker has accepted can no longer take effect.
        const bool isFencedOff = run.fence < poll.fence;
        if (!run.isConfirmed && isFencedOff && run.phase != Phase::Starting) {
            // A process that has ended since may have executed a start that it did not answer.
            const bool mayHaveRun = run.unansweredAt && *run.unansweredAt < restartDetectedAt_;
            absent.emplace_back(key, mayHaveRun ? wire::RunOutcome::GONE : wire::RunOutcome::NOT_STARTED);
        } else if (run.isConfirmed && run.confirmedAt < poll.sentAt) {
            // An unanswered copy of the start can take effect in a process that has started since.
            if (run.unansweredAt && !isFencedOff) {
                raiseFence(run.fence + 1);
            } else {
                absent.emplace_back(key, wire::RunOutcome::GONE);
            }
        }
    }
    for (const auto &[key, outcome] : absent) {
        const bool wasBeforeRestart = runs_.at(key).firstSentAt < restartDetectedAt_;
        const char *goneReason = wasBeforeRestart ? "worker_restarted" : "not_listed";
        finishRun(key, outcome, outcome == wire::RunOutcome::GONE ? goneReason : "fenced_off", now);
    }
}

/** Before the ends of the listing are reported: another run of a task keeps its end from being reported. */
void WorkerSupervisor::recordUnknownRuns(const PendingPoll &poll, const RunListing &listing, MonotonicTime now)
{
    std::vector<RunKey> unknown;
    std::ranges::copy_if(
        listing.running, std::back_inserter(unknown), [&](const RunKey &key) { return !runs_.contains(key); });
    unknownRuns_.record(std::move(unknown), listing.isComplete, poll.sentAt, now);
    if (listing.isComplete) {
        listedAllAt_ = std::max(listedAllAt_, poll.sentAt);
    }
}

void WorkerSupervisor::stopUnknownRuns(const PendingPoll &poll, const RunListing &listing, MonotonicTime now)
{
    size_t unknownRuns = 0;
    for (const RunKey &key : listing.running) {
        if (runs_.contains(key)) {
            continue;
        }
        ++unknownRuns;
        output_.calls.emplace_back(StopRun{++lastCallId_, target(), key, fence_, timing_.callTimeout});
        log(LogEvent::Level::Warning,
            "unknown_run_stopped",
            {{"run", describe(key)}, {"worker", worker_->identity.id}});
    }
    const bool wasReconciled = isReconciled_;
    isReconciled_ = unknownRuns == 0 && listing.isComplete && poll.fence >= requiredFence_;
    if (isReconciled_ && !wasReconciled) {
        log(LogEvent::Level::Info,
            "worker_reconciled",
            {{"worker", worker_->identity.id}, {"fence", absl::StrCat(fence_)}});
    }
    lastPollAt_ = now;
}

/**
 * Keeps a poll pending at the worker while runs, ends, the reconciliation or a lost contact need one, and while a start
 * is unanswered: the poll breaks off when the process ends, whose successor may execute that start.
 */
void WorkerSupervisor::sendPollIfNeeded(MonotonicTime now)
{
    if (!worker_ || !isPollNeeded(now)) {
        return;
    }
    const bool isRetry = isContactLost() || !isReconciled_ || !candidates_.empty();
    if (isRetry && now < nextRetryAt()) {
        return;
    }
    sendPoll(nextPollWait(isRetry), !runs_.empty(), now);
}

Milliseconds WorkerSupervisor::nextPollWait(bool isRetry) const
{
    if (!unknownRuns_.isEmpty() && !isContactLost()) {
        return timing_.retryDelay; // The answer comes with the end of the run that is being stopped.
    }
    const bool isWatched = !runs_.empty() || !unansweredStarts_.isEmpty();
    return isRetry || isListingNeeded() || !isWatched ? Milliseconds(0) : timing_.maxPollWait;
}

/** Whether no poll has been sent that can show what an end still needs. */
bool WorkerSupervisor::isListingNeeded() const
{
    const MonotonicTime sentAt = pendingPolls_.empty() ? listedAllAt_ : pendingPolls_.rbegin()->second.sentAt;
    return std::ranges::any_of(
        withheldEnds_, [&](const ReportedEnd &each) { return each.listingSince && *each.listingSince > sentAt; });
}

/**
 * The lease of runs must be renewed soon, and candidates judged, so the interval of these polls doesn't grow. It is
 * shortest while a restarted worker may execute an earlier start, or already does: its first call ends that.
 */
MonotonicTime WorkerSupervisor::nextRetryAt() const
{
    const bool mayStartLate = contact_.isRestartLikely() && !unansweredStarts_.isEmpty();
    const bool hasStartedLate = !unknownRuns_.isEmpty() && !isContactLost();
    const MonotonicTime urgent = lastPollAt_ + timing_.urgentPollDelay;
    const MonotonicTime regular = lastPollAt_ + timing_.retryDelay;
    if (!contact_.isLost()) {
        return hasStartedLate ? urgent : regular;
    }
    const bool isUrgent = !runs_.empty() || !candidates_.empty();
    const MonotonicTime probe = isUrgent ? std::min(regular, contact_.nextProbeAt()) : contact_.nextProbeAt();
    return mayStartLate ? std::min(urgent, probe) : probe;
}

/** Whether to send another poll: the first one, a probe, or a second one beside one that may have been lost. */
bool WorkerSupervisor::isPollNeeded(MonotonicTime now) const
{
    if (pendingPolls_.empty()) {
        return !isIdle() || !isReconciled_ || !unansweredStarts_.isEmpty() || !candidates_.empty()
            || lastEndAcknowledged_ < lastEndSeen_ || isContactLost() || !lease_.isClockKnown();
    }
    if (contact_.isLost() && pendingPolls_.rbegin()->first < contact_.lastFailedCall()) {
        return true;
    }
    const bool mayShowUnknownRuns = pendingPolls_.rbegin()->second.sentAt >= unknownRuns_.listedAt();
    if (isListingNeeded() || (!unknownRuns_.isEmpty() && !mayShowUnknownRuns)) {
        return true;
    }
    return pendingPolls_.size() == 1 && !isIdle()
        && now - pendingPolls_.begin()->second.sentAt >= timing_.secondPollDelay;
}

void WorkerSupervisor::sendPoll(Milliseconds wait, bool extendsLease, MonotonicTime now)
{
    const int64_t callId = ++lastCallId_;
    PollRuns call;
    call.callId = callId;
    call.target = target();
    if (extendsLease && lease_.isClockKnown()) {
        call.leaseEndMs = lease_.extend(now, latestLeaseEnd());
    }
    call.fence = fence_;
    call.acknowledgedEnd = lastEndSeen_;
    call.wait = wait;
    call.timeout = wait + timing_.callTimeout;
    call.usesNewConnection = contact_.needsNewConnection();
    pendingPolls_[callId] = PendingPoll{callId, fence_, lastEndSeen_, now};
    lastPollAt_ = now;
    output_.calls.emplace_back(std::move(call));
}

} // namespace marjoramferry
