#pragma once

#include "core/time.h"
#include "event/log_event.h"
#include "request/agent_fences.h"
#include "request/crash_evidence.h"
#include "request/crash_log.h"
#include "request/ended_processes.h"
#include "request/entry_liveness.h"
#include "request/successor_candidate.h"
#include "request/unanswered_starts.h"
#include "request/unknown_runs.h"
#include "request/worker_contact.h"
#include "request/worker_lease.h"
#include "request/worker_protocol.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramferry {

/** A run ordered by an entry. */
struct RunRequest
{
    RunOrderId orderId;
    RunKey key;
    Demand demand;
    std::string spec;
    std::string requestId; ///< Used in logs only.
    std::string queue; ///< Of the job; named in reports of crashes.
    WorkerIdentity worker; ///< The process that the entry chose; without an ID if it named none.
    int64_t rank = 0; ///< Lower starts first.
    MonotonicTime startDeadline; ///< Rejected if it could not be started by then.
};

struct EndedRun
{
    RunOrderId orderId;
    wire::RunOutcome::type outcome = wire::RunOutcome::GONE;
    std::string reason;
    int ranMs = 0;
};

struct WorkerTiming
{
    Milliseconds leaseDuration{600}; ///< The worker ends its runs this long after the agent's last renewal.
    /** From the last proof that an entry is alive to the end of the lease of its runs, at most. */
    Milliseconds leaseLimit = leaseLimitFor(WorkerLimits());
    Milliseconds longestLease = longestLeaseFor(WorkerLimits()); ///< That the worker grants, on a slow clock.
    Milliseconds maxPollWait{200}; ///< How long a poll waits for an end; also the interval of lease renewals.
    Milliseconds callTimeout{150}; ///< Timeout of a call that the worker answers without waiting.
    Milliseconds startTimeout{20}; ///< Timeout of the first StartRun, which can be resent unchanged.
    int maxUnansweredStarts = 2; ///< Unanswered StartRun calls before the fence is raised.
    Milliseconds secondPollDelay{50}; ///< A second poll is sent beside one without an answer for this long.
    Milliseconds retryDelay{100}; ///< Between two sends of the same stop or poll.
    Milliseconds urgentPollDelay{10}; ///< Between polls of a worker that may have restarted with an earlier start.
    Milliseconds lateCallTime{12'000}; ///< A call without an answer may be executed for so long.
    Milliseconds announcementTimeout{4000}; ///< A worker without announcements and replies for this long is lost.
};

/**
 * Supervises the runs of the agent's one worker: queues, starts and stops them, tracks the free capacity,
 * and reports each end.
 *
 * Every run that may be on the worker counts against the capacity: running, starting, stopping, and those
 * whose start was not answered. An unanswered start is resolved by raising the fence: once the worker has
 * accepted the new fence, it either lists the run or will never start it.
 */
class WorkerSupervisor
{
public:
    /**
     * @p fence should be higher than any used by an earlier incarnation of this agent, such as a wall clock time; see
     * handleEarlierFence().
     */
    WorkerSupervisor(WorkerTiming timing, int64_t fence, const EntryLiveness &entryLiveness);

    struct Output
    {
        std::vector<WorkerCall> calls;
        std::vector<EndedRun> ends;
        std::vector<WorkerCrash> crashes;
        std::vector<LogEvent> logs;
    };

    void handleAnnouncement(const WorkerAnnouncement &announcement, MonotonicTime now);
    void handleDeparture(const WorkerDeparture &departure, MonotonicTime now);
    void requestRun(RunRequest request, MonotonicTime now);

    /** Reports a run as not started. */
    void rejectRun(const RunRequest &request, const std::string &reason, MonotonicTime now);
    void withdrawRun(const RunOrderId &orderId, MonotonicTime now);

    /** Withdraws all runs ordered by the entry in sessions before @p session. */
    void withdrawSessionsBefore(const std::string &entryIncarnation, int64_t session, MonotonicTime now);
    void handleReply(const WorkerReply &reply, MonotonicTime now);

    /** Handles that an earlier incarnation of this agent has used the fence. */
    void handleEarlierFence(int64_t fence, MonotonicTime now);
    void tick(MonotonicTime now);

    /** Rejects queued and new runs; runs on the worker continue. */
    void beginDrain(MonotonicTime now);

    /** Returns the output since the last call. */
    Output takeOutput();

    /** State reported to entries. Callers detect changes by comparing it with the last one they sent. */
    wire::WorkerState state() const;
    wire::WorkerRoom freeCapacity() const;

    /** Fence of the calls to the worker. */
    int64_t fence() const
    {
        return fence_;
    }

    /** Whether no runs of earlier incarnations of this agent remain on the worker. */
    bool isReconciled() const
    {
        return isReconciled_;
    }

    /** Whether the worker lists runs that this incarnation of the agent has not started. */
    bool hasUnknownRuns() const
    {
        return !unknownRuns_.isEmpty();
    }

    /** Whether no run is or may be on the worker, and each end was reported. */
    bool isIdle() const
    {
        return runs_.empty() && unknownRuns_.isEmpty() && withheldEnds_.empty();
    }

private:
    enum class Phase {
        Starting,
        Unresolved, ///< The start was not answered; the run may or may not be on the worker.
        Running,
        Stopping,
    };

    /** A run that is or may be on the worker. */
    struct Run
    {
        RunRequest request;
        Phase phase = Phase::Starting;
        int64_t startCallId = 0;
        int64_t fence = 0; ///< Fence of the StartRun call.
        MonotonicTime firstSentAt; ///< When the first StartRun call of this attempt was sent.
        std::optional<MonotonicTime>
            unansweredAt; ///< When a StartRun call of this attempt first ended without an answer.
        MonotonicTime confirmedAt; ///< When the worker confirmed the run; polls sent later must list it.
        bool isConfirmed = false;
        MonotonicTime stopSentAt;
        MonotonicTime latestLeaseEnd; ///< No lease may be extended beyond this while the run may be on the worker.
        int startsSent = 1; ///< StartRun calls sent for this attempt.
        int retries = 0; ///< Restarts with a higher attempt number or fence.
    };

    enum class ListedProcess {
        None, ///< The reply names none, or no process is known to compare it with.
        Present,
        Earlier,
        Later,
    };

    /** The end of a run or the rejection of an order, and the evidence without which it is not reported. */
    struct ReportedEnd
    {
        RunKey key;
        EndedRun end;
        /** A call sent since then has to list what the worker runs; nothing if what ended the run shows that. */
        std::optional<MonotonicTime> listingSince;
    };

    /** A poll that was sent and is not answered yet. */
    struct PendingPoll
    {
        int64_t callId = 0;
        int64_t fence = 0;
        int64_t acknowledgedEnd = 0;
        MonotonicTime sentAt;
    };

    void updateWorker(const WorkerAnnouncement &announcement, MonotonicTime now);
    void discard(const WorkerAnnouncement &announcement, const std::string &reason);
    void handleCandidate(const WorkerAnnouncement &announcement, MonotonicTime now);
    void judgeCandidates(const WorkerReply &reply, MonotonicTime now);
    void acceptUnopposedCandidate(MonotonicTime now);
    void acceptCandidate(const WorkerAnnouncement &announcement, MonotonicTime now);
    std::vector<SuccessorCandidate>::iterator findCandidate(const WorkerIdentity &process);
    void adoptWorker(const WorkerAnnouncement &announcement, MonotonicTime now);
    void forgetWorker();
    void beginProcess(MonotonicTime now);
    void handleReplacement(MonotonicTime now);
    void handleRestart(int64_t startTimeMs, MonotonicTime detectedAt, MonotonicTime now);
    /** Whether the known process has accepted a poll. */
    bool hasAnswered() const
    {
        return acceptedFence_ > 0;
    }
    void dropAllRuns(const std::string &reason, MonotonicTime now);
    void reportCrash(wire::CrashStatus::type status, const std::string &evidence, MonotonicTime now);
    void retractCrash(const std::string &evidence);
    void rejectWaitingRuns(const std::string &reason,
                           MonotonicTime now,
                           const std::function<bool(const RunRequest &)> &isRejected);
    void rejectWaitingRuns(const std::string &reason, MonotonicTime now);
    void rejectMisplacedRuns(MonotonicTime now);
    void startQueuedRuns(MonotonicTime now);
    void rejectOverdueRuns(MonotonicTime now);
    void startRun(RunRequest request, MonotonicTime now);
    void sendStart(Run &run, MonotonicTime now);
    bool isPollNeeded(MonotonicTime now) const;
    bool isListingNeeded() const;
    Milliseconds nextPollWait(bool isRetry) const;
    bool hasRunOfTask(const RunKey &key) const;
    MonotonicTime latestLeaseEndFor(const RunOrderId &orderId) const;
    MonotonicTime latestLeaseEnd() const;
    void updateLatestLeaseEnds();
    ListedProcess listedProcess(const WorkerReply &reply) const;
    bool isClockOfWorker(const WorkerReply &reply) const;
    void onStartReply(const RunKey &key, const WorkerReply &reply, MonotonicTime now);
    void markUnresolved(Run &run, MonotonicTime now);
    void onStartRejected(Run &run, const WorkerReply &reply, MonotonicTime now);
    void onPollReply(const PendingPoll &poll, const WorkerReply &reply, MonotonicTime now);
    void onListing(const PendingPoll &poll, const RunListing &listing, MonotonicTime now);
    void onRunEnded(const ListedEnd &end, MonotonicTime now);
    void confirmRun(Run &run, MonotonicTime now);
    void reconcileRuns(const PendingPoll &poll, const RunListing &listing, MonotonicTime now);
    void recordUnknownRuns(const PendingPoll &poll, const RunListing &listing, MonotonicTime now);
    void stopUnknownRuns(const PendingPoll &poll, const RunListing &listing, MonotonicTime now);
    void stopRun(Run &run, MonotonicTime now);
    void raiseFence(int64_t atLeast);
    void updateContact(const WorkerReply &reply, MonotonicTime now);
    bool hasUsableListing(const WorkerReply &reply) const;
    bool isContactLost() const;
    MonotonicTime nextRetryAt() const;
    void sendPollIfNeeded(MonotonicTime now);
    void sendPoll(Milliseconds wait, bool extendsLease, MonotonicTime now);
    void finishRun(const RunKey &key,
                   wire::RunOutcome::type outcome,
                   const std::string &reason,
                   MonotonicTime now,
                   std::optional<MonotonicTime> listingSince = std::nullopt);
    void reportEnd(ReportedEnd reported);
    std::optional<MonotonicTime> listingNeededSince(const RunKey &key, MonotonicTime now) const;
    std::string_view endObstacle(const ReportedEnd &reported) const;
    void releaseEnds();
    void releaseEnds(const std::function<bool(const ReportedEnd &)> &isReleased);
    Demand claimedDemand() const;
    bool mayStartAgain(const RunRequest &request) const;
    bool canStartRuns() const;
    std::string_view startObstacle() const;
    void logAvailability();
    WorkerTarget target() const;
    void log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields);

    /**
     * A week in milliseconds. Fences start at the wall clock time, so this passes the fences of an earlier incarnation
     * whose clock ran ahead by up to a week.
     */
    static constexpr int64_t FenceIncrement = int64_t{7} * 24 * 3600 * 1000;

    const WorkerTiming timing_;
    const EntryLiveness &entryLiveness_;
    std::optional<WorkerAnnouncement> worker_; ///< The known process, as last announced.
    /** Whether it has announced itself. Only its ID, address and start time are known of a process that has not. */
    bool isAnnounced_ = false;
    std::vector<SuccessorCandidate> candidates_; ///< Announced processes that may have replaced it, the newest last.
    EndedProcesses endedProcesses_;
    bool hasDeparted_ = false; ///< It has said that it ends, and still has runs.
    CrashEvidence crashEvidence_; ///< About the current process of the worker.
    MonotonicTime restartDetectedAt_; ///< When this agent detected a restart of the worker.
    MonotonicTime lastAnnouncementAt_;
    MonotonicTime lastReplyAt_;
    WorkerLease lease_;
    WorkerContact contact_;
    int64_t fence_;
    int64_t requiredFence_ = 0; ///< Once the worker accepts this fence, no older start can take effect.
    FenceCheck fenceCheck_; ///< Of the fences that entries report.
    int64_t acceptedFence_ = 0; ///< Highest fence the worker is known to have accepted.
    int64_t lastCallId_ = 0;
    int64_t lastCallBeforeWorker_ = 0; ///< Calls up to this one were sent to another worker.
    int64_t lastCallBeforeProcess_ = 0; ///< Calls up to this one may have reached an earlier process of the worker.
    int64_t lastListedCall_ = 0; ///< The newest call that the present process has answered with a listing.
    int64_t lastEndSeen_ = 0;
    int64_t lastEndAcknowledged_ = 0;
    std::map<RunKey, Run> runs_;
    std::vector<RunRequest> queue_; ///< Sorted by rank.
    std::map<int64_t, RunKey> startCalls_; ///< Unanswered StartRun calls, by call id.
    std::map<int64_t, PendingPoll> pendingPolls_;
    MonotonicTime lastPollAt_;
    /** Earlier calls may extend the lease of the present process until it has accepted the required fence. */
    bool isLeaseUnknown_ = false;
    UnknownRuns unknownRuns_;
    UnansweredStarts unansweredStarts_;
    std::vector<ReportedEnd> withheldEnds_; ///< Until no other run of their task can be on the worker.
    MonotonicTime listedAllAt_; ///< When the newest call was sent whose listing of the present process is complete.
    bool isReconciled_ = false; ///< The worker accepted the required fence and has no unknown runs.
    bool isDraining_ = false;
    std::string_view loggedObstacle_ = "no_worker"; ///< As of the last call of logAvailability().
    Output output_;
};

} // namespace marjoramferry
