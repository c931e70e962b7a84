#pragma once

#include "core/time.h"
#include "request/log_event.h"
#include "request/worker_lease.h"
#include "request/worker_protocol.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** Who asked for a run. An entry that gave all up begins a new session. */
struct RunTag
{
    std::string entry; ///< The entry's incarnation.
    int64_t session = 0;
    int64_t number = 0;

    auto operator<=>(const RunTag &) const = default;
};

/** A run that an entry asks for. */
struct RunRequest
{
    RunTag tag;
    RunKey key;
    Demand demand;
    std::string spec;
    std::string requestId; ///< For the logs.
    int64_t rank = 0; ///< Lower starts first.
    MonotonicTime startBy; ///< Given back if it could not be started by then.
};

struct EndedRun
{
    RunTag tag;
    wire::RunOutcome::type outcome = wire::RunOutcome::GONE;
    std::string reason;
    int ranMs = 0;
};

struct WorkerTiming
{
    Milliseconds leaseDuration{600}; ///< Runs end this long after the last word of this agent.
    Milliseconds maxPollWait{200}; ///< How long a hold waits for an end; also the pace of the lease.
    Milliseconds callTimeout{150}; ///< A call that the worker should answer at once is unresolved after this.
    Milliseconds startTimeout{20}; ///< The same for the first try of a start, which may be sent again as it was.
    int startTries = 2; ///< Starts that go unanswered before the fence is raised.
    Milliseconds secondWatch{50}; ///< A hold that has told nothing for so long is backed by another.
    Milliseconds retryPause{100}; ///< Between two tries of the same stop or hold.
    Milliseconds announceLapse{4000}; ///< A worker silent for so long that does not answer either is gone.
};

/**
 * The agent's keeping of the one worker beside it: what runs there, what room is left, and what is
 * certain to have ended.
 *
 * Room is counted for everything that may be on the worker: what runs, is being started or stopped,
 * and what no answer came for. A run whose start was not answered is settled by raising the fence:
 * once the worker has taken the new fence, it either lists the run or will never begin it.
 */
class WorkerKeeper
{
public:
    /** @p fence must be above any that an earlier incarnation of this agent used, as a wall time is. */
    WorkerKeeper(WorkerTiming timing, int64_t fence);

    struct Output
    {
        std::vector<WorkerCall> calls;
        std::vector<EndedRun> ends;
        std::vector<LogEvent> logs;
    };

    void announce(const WorkerAnnouncement &announcement, MonotonicTime now);
    void depart(const WorkerDeparture &departure, MonotonicTime now);
    void request(RunRequest request, MonotonicTime now);

    /** Gives a run back that is not to be started. */
    void refuse(const RunRequest &request, const std::string &reason);
    void withdraw(const RunTag &tag, MonotonicTime now);

    /** Withdraws all that was asked in sessions of the entry below @p session. */
    void withdrawSessions(const std::string &entry, int64_t session, MonotonicTime now);
    void reply(const WorkerReply &reply, MonotonicTime now);
    void tick(MonotonicTime now);

    /** Starts nothing more, and gives back what waits. */
    void close(MonotonicTime now);

    Output take();

    /** What entries need to know; changes are told by comparing. */
    wire::WorkerState state() const;
    wire::WorkerRoom room() const;

    /** Whether nothing of earlier incarnations of this agent is left on the worker. */
    bool isCleared() const
    {
        return isSettled_;
    }

    /** Whether any run is or may be on the worker. */
    bool isIdle() const
    {
        return runs_.empty();
    }

private:
    enum class Phase {
        Starting,
        Unresolved, ///< The start was not answered.
        Running,
        Stopping,
    };

    /** A run that is or may be on the worker. */
    struct Run
    {
        RunRequest request;
        Phase phase = Phase::Starting;
        int64_t startCall = 0;
        int64_t fence = 0; ///< Of the start call.
        MonotonicTime sentAt;
        MonotonicTime confirmedAt; ///< Of the worker's word that it is there; listings asked for later show it.
        bool isConfirmed = false;
        MonotonicTime stopSentAt;
        int tries = 1; ///< Starts sent with this attempt.
        int retries = 0; ///< Starts with higher attempts or fences.
    };

    struct Hold
    {
        int64_t callId = 0;
        int64_t fence = 0;
        int64_t endsSeen = 0;
        MonotonicTime sentAt;
    };

    void adopt(const WorkerAnnouncement &announcement, MonotonicTime now);
    void beginLife(int64_t bornMs, MonotonicTime now);
    void loseAll(const std::string &reason, MonotonicTime now);
    void startWaiting(MonotonicTime now);
    void refuseOverdue(MonotonicTime now);
    void startOne(RunRequest request, MonotonicTime now);
    void sendStart(Run &run, MonotonicTime now);
    bool shouldWatch(MonotonicTime now) const;
    bool isTaskThere(const RunKey &key) const;
    void onStartReply(const RunKey &key, const WorkerReply &reply, MonotonicTime now);
    void leaveOpen(Run &run, MonotonicTime now);
    void onStartRejected(Run &run, const WorkerReply &reply, MonotonicTime now);
    void onHoldReply(const Hold &hold, const WorkerReply &reply, MonotonicTime now);
    void onListing(const Hold &hold, const RunListing &listing, MonotonicTime now);
    void onEnd(const ListedEnd &end, MonotonicTime now);
    void confirm(Run &run, MonotonicTime now);
    void settleAbsent(const Hold &hold, const RunListing &listing, MonotonicTime now);
    void stopStrangers(const RunListing &listing, MonotonicTime now);
    void stop(Run &run, MonotonicTime now);
    void raiseFence(int64_t atLeast);
    void watch(MonotonicTime now);
    void sendHold(Milliseconds wait, bool extends, MonotonicTime now);
    void finish(const RunKey &key, wire::RunOutcome::type outcome, const std::string &reason, MonotonicTime now);
    Demand claimed() const;
    bool takesRuns() const;
    WorkerTarget target() const;
    void log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields);

    const WorkerTiming timing_;
    std::optional<WorkerAnnouncement> worker_;
    MonotonicTime lifeNoticedAt_; ///< When this agent learnt that the worker had restarted.
    MonotonicTime announcedAt_;
    MonotonicTime answeredAt_;
    WorkerLease lease_;
    int64_t fence_;
    int64_t requiredFence_ = 0; ///< Once the worker has taken this one, nothing of before can begin.
    int64_t settledFence_ = 0; ///< The highest fence that the worker has taken, as its answers show.
    int64_t lastCall_ = 0;
    int64_t endsSeen_ = 0;
    int64_t endsAcknowledged_ = 0;
    std::map<RunKey, Run> runs_;
    std::vector<RunRequest> waiting_; ///< By rank.
    std::map<int64_t, RunKey> startCalls_;
    std::map<int64_t, Hold> holds_;
    MonotonicTime holdTriedAt_;
    bool isSettled_ = false; ///< The worker took this incarnation's fence and runs nothing unknown.
    bool isClosed_ = false;
    Output out_;
};

} // namespace marjoramferry
