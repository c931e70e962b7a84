#include "request/worker_supervisor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

/** The part of WorkerSupervisor that decides which process is beside the agent. */
namespace marjoramferry {

namespace {

/**
 * The earlier process may have raised its fence after its last report, by one for each unanswered start: a few hundred
 * times a second, and an entry on standby has a report every 4 s.
 */
constexpr int64_t UnreportedFences = 60'000;
/** Any writer can announce processes, so their number has a bound. Answers decide on them within milliseconds. */
constexpr size_t MaxCandidates = 8;

} // namespace

void WorkerSupervisor::handleAnnouncement(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    if (worker_ && announcement.identity == worker_->identity) {
        updateWorker(announcement, now);
    } else if (endedProcesses_.contains(announcement.identity, now)) {
        discard(announcement, "ended_process");
    } else if (!worker_) {
        adoptWorker(announcement, now);
    } else {
        handleCandidate(announcement, now);
    }
}

/** Applies an announcement of the known process. */
void WorkerSupervisor::updateWorker(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    // Later numbers alone don't make the known announcement the newer one: it may be of another writer.
    if (announcement.sequence < worker_->sequence && announcement.clockMs <= worker_->clockMs) {
        discard(announcement, "older");
        return;
    }
    // The next process under an ID may be of another kind.
    const bool isSameKind = announcement.service == worker_->service && announcement.domain == worker_->domain;
    const bool isConsistent = announcement.address == worker_->address && (isSameKind || !isAnnounced_);
    if (!isConsistent && !hasAnswered() && isIdle()) {
        adoptWorker(announcement, now);
        return;
    }
    if (!isConsistent) {
        discard(announcement, "other_address_service_or_domain");
        return;
    }
    if (announcement.leaving != worker_->leaving) {
        log(LogEvent::Level::Info,
            "worker_leaving",
            {{"worker", announcement.identity.id}, {"leaving", announcement.leaving ? "1" : "0"}});
    }
    worker_ = announcement;
    isAnnounced_ = true;
    worker_->clockMs = lease_.observeAnnouncedClock(announcement.clockMs, now);
    hasDeparted_ = false;
    lastAnnouncementAt_ = now;
    startQueuedRuns(now);
}

void WorkerSupervisor::discard(const WorkerAnnouncement &announcement, const std::string &reason)
{
    log(LogEvent::Level::Info,
        "announcement_discarded",
        {{"worker", announcement.identity.id},
         {"start_time_ms", absl::StrCat(announcement.identity.startTimeMs)},
         {"sequence", absl::StrCat(announcement.sequence)},
         {"reason", reason}});
}

/**
 * Handles the announcement of another process: asks the known one whether it is still there. Start times don't tell
 * which process is the later one, since they are times of day. A process that the answer refutes is remembered, so
 * delayed announcements of one that has ended cost one poll and one fence.
 */
void WorkerSupervisor::handleCandidate(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    const WorkerIdentity &candidate = announcement.identity;
    const bool isSameName = candidate.id == worker_->identity.id;
    if (const auto known = findCandidate(candidate); known != candidates_.end()) {
        known->update(announcement);
        return;
    }
    if (candidates_.size() >= MaxCandidates) {
        discard(announcement, "other_candidates");
        return;
    }
    log(LogEvent::Level::Warning,
        "successor_announced",
        {{"worker", worker_->identity.id},
         {"candidate", candidate.id},
         {"service", announcement.service},
         {"address", announcement.address},
         {"start_time_ms", absl::StrCat(candidate.startTimeMs)},
         {"runs", absl::StrCat(runs_.size())}});
    candidates_.emplace_back(announcement, lastCallId_, now);
    if (isSameName) {
        raiseFence(fence_ + 1); // Settles the starts that may be under way to either process.
    }
    if (candidates_.size() == 1) {
        sendPoll(Milliseconds(0), false, now);
    }
}

std::vector<SuccessorCandidate>::iterator WorkerSupervisor::findCandidate(const WorkerIdentity &process)
{
    return std::ranges::find(
        candidates_, process, [](const SuccessorCandidate &each) { return each.announcement().identity; });
}

/**
 * The process that the reply lists. Start times don't tell which process is the later one, since they are times of day:
 * the process that answers the newer call is.
 */
WorkerSupervisor::ListedProcess WorkerSupervisor::listedProcess(const WorkerReply &reply) const
{
    const int64_t startTimeMs = reply.listing ? reply.listing->startTimeMs : 0;
    if (!worker_ || startTimeMs == 0 || worker_->identity.startTimeMs == 0) {
        return ListedProcess::None;
    }
    if (startTimeMs == worker_->identity.startTimeMs) {
        return ListedProcess::Present;
    }
    const bool isNewerCall = reply.callId > std::max(lastCallBeforeProcess_, lastListedCall_);
    return isNewerCall ? ListedProcess::Later : ListedProcess::Earlier;
}

/** A reply to an earlier call, or to a call for another worker, may carry the clock of another process. */
bool WorkerSupervisor::isClockOfWorker(const WorkerReply &reply) const
{
    if (!worker_ || reply.rejection == Rejection::OtherIncarnation) {
        return false;
    }
    return listedProcess(reply) == ListedProcess::Present || reply.callId > lastCallBeforeProcess_;
}

void WorkerSupervisor::judgeCandidates(const WorkerReply &reply, MonotonicTime now)
{
    std::optional<WorkerAnnouncement> confirmed;
    std::vector<SuccessorCandidate> undecided;
    for (SuccessorCandidate &each : std::exchange(candidates_, {})) {
        const WorkerAnnouncement &announcement = each.announcement();
        switch (each.judge(reply, worker_->identity)) {
        case CandidateVerdict::Undecided:
            undecided.push_back(std::move(each));
            break;
        case CandidateVerdict::Refuted:
            discard(announcement, "known_process_answered");
            // One under another ID may still be the next, and another ID at the address tells nothing of this one.
            if (announcement.identity.id == worker_->identity.id && reply.listing) {
                endedProcesses_.add(announcement.identity, now);
            }
            break;
        case CandidateVerdict::Confirmed:
            confirmed = announcement;
            break;
        }
    }
    candidates_ = std::move(undecided);
    if (confirmed) {
        acceptCandidate(*confirmed, now);
    }
}

/** Accepts a candidate if the known process has no runs and has not answered for the duration of a lease. */
void WorkerSupervisor::acceptUnopposedCandidate(MonotonicTime now)
{
    const auto isUnopposed = [&](const SuccessorCandidate &each) {
        return lastReplyAt_ < each.since() && now - each.since() > timing_.leaseDuration;
    };
    const auto newest = std::find_if(candidates_.rbegin(), candidates_.rend(), isUnopposed);
    if (isIdle() && newest != candidates_.rend()) {
        const WorkerAnnouncement announcement = newest->announcement();
        candidates_.erase(findCandidate(announcement.identity));
        acceptCandidate(announcement, now);
    }
}

void WorkerSupervisor::acceptCandidate(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    if (announcement.identity.id != worker_->identity.id) {
        if (!isIdle()) {
            handleReplacement(now);
        }
        adoptWorker(announcement, now);
        return;
    }
    if (announcement.identity != worker_->identity) {
        handleRestart(announcement.identity.startTimeMs, now, now);
    }
    worker_ = announcement;
    isAnnounced_ = true;
    worker_->clockMs = lease_.observeAnnouncedClock(announcement.clockMs, now);
    lastAnnouncementAt_ = now;
}

/**
 * Handles a restart of the worker under the same name. Earlier runs are gone, but calls sent since the
 * restart may have reached the new process: its first listing under a higher fence shows which runs exist.
 */
void WorkerSupervisor::handleRestart(int64_t startTimeMs, MonotonicTime detectedAt, MonotonicTime now)
{
    log(LogEvent::Level::Warning,
        "worker_restarted",
        {{"worker", worker_->identity.id},
         {"start_time_ms", absl::StrCat(startTimeMs)},
         {"runs", absl::StrCat(runs_.size())}});
    reportCrash(wire::CrashStatus::DETECTED, "worker_restarted", now);
    // The next process may be of another kind, so nothing is started before it has announced itself. Entries keep the
    // service and domain until then, since they group workers by them.
    worker_->identity.startTimeMs = startTimeMs;
    worker_->labels.clear();
    worker_->capacity = {};
    worker_->leaving = false;
    worker_->sequence = 0;
    worker_->clockMs = 0;
    isAnnounced_ = false;
    restartDetectedAt_ = detectedAt;
    raiseFence(fence_ + 1);
    beginProcess(now);
    // For a lease end of the old clock, in a call that was under way, the new process grants the longest lease.
    lease_.assumeExtendedTo(now + timing_.longestLease);
}

/** Forgets what is known of the process before, and asks the present one for its runs. */
void WorkerSupervisor::beginProcess(MonotonicTime now)
{
    crashEvidence_.beginProcess(worker_->identity, lastCallId_);
    hasDeparted_ = false;
    lastAnnouncementAt_ = now;
    lastReplyAt_ = now;
    lastCallBeforeProcess_ = lastCallId_;
    contact_.reset();
    lease_.reset(); // An announced clock is not used until a reply of the process has confirmed it.
    isLeaseUnknown_ = true;
    unknownRuns_.clear();
    listedAllAt_ = MonotonicTime();
    lastEndSeen_ = 0;
    lastEndAcknowledged_ = 0;
    acceptedFence_ = 0;
    requiredFence_ = fence_;
    isReconciled_ = false;
    sendPoll(Milliseconds(0), false, now);
}

/** Handles that the known process is no longer at its address: another one has answered there. */
void WorkerSupervisor::handleReplacement(MonotonicTime now)
{
    if (worker_) {
        reportCrash(wire::CrashStatus::DETECTED, "worker_replaced", now);
    }
    dropAllRuns("worker_replaced", now);
    isReconciled_ = false;
}

void WorkerSupervisor::adoptWorker(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    worker_ = announcement;
    isAnnounced_ = true;
    candidates_.clear();
    lastCallBeforeWorker_ = lastCallId_;
    pendingPolls_.clear();
    if (hasAnswered()) {
        raiseFence(fence_ + 1); // The process may be the next one under an ID that was known before.
    }
    log(LogEvent::Level::Info,
        "worker_found",
        {{"worker", announcement.identity.id},
         {"service", announcement.service},
         {"address", announcement.address},
         {"start_time_ms", absl::StrCat(announcement.identity.startTimeMs)},
         {"cpu_millis", absl::StrCat(announcement.capacity.cpuMillis)}});
    beginProcess(now);
}

/** A worker that says that it leaves still has its runs until it no longer answers, and their lease has expired. */
void WorkerSupervisor::handleDeparture(const WorkerDeparture &departure, MonotonicTime now)
{
    if (!worker_ || worker_->identity.id != departure.id) {
        return;
    }
    log(LogEvent::Level::Info, "worker_left", {{"worker", departure.id}, {"runs", absl::StrCat(runs_.size())}});
    retractCrash("worker_left");
    rejectWaitingRuns("worker_left", now);
    worker_->leaving = true;
    hasDeparted_ = true;
    if (isIdle()) {
        forgetWorker();
    }
}

void WorkerSupervisor::handleEarlierFence(int64_t fence, MonotonicTime now)
{
    if (fence <= 0 || fence < fence_) {
        return;
    }
    const FenceVerdict verdict = fenceCheck_.check(fence);
    if (verdict == FenceVerdict::Refused) {
        log(LogEvent::Level::Warning, "fence_refused", {{"fence", absl::StrCat(fence)}});
    }
    if (verdict != FenceVerdict::Plausible) {
        return;
    }
    log(LogEvent::Level::Warning,
        "fence_raised",
        {{"fence", absl::StrCat(fence_)}, {"earlier_fence", absl::StrCat(fence)}});
    raiseFence(fence + UnreportedFences);
    requiredFence_ = fence_;
    isReconciled_ = false;
    isLeaseUnknown_ = true; // Late calls of the earlier process may extend the lease until then.
    if (worker_) {
        sendPoll(Milliseconds(0), false, now);
    }
}

void WorkerSupervisor::forgetWorker()
{
    worker_.reset();
    candidates_.clear();
    hasDeparted_ = false;
    isReconciled_ = false;
}

} // namespace marjoramferry
