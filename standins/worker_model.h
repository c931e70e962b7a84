#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <map>
#include <string>
#include <vector>

namespace marjoramferry {

/** One time that a task was at work on a worker. */
struct RunInterval
{
    RunKey key;
    std::string worker;
    MonotonicTime from;
    MonotonicTime to; ///< The end of time while it runs.
    bool hasSucceeded = false;
};

/**
 * What a worker does with the calls of its agent, in virtual time: leases on its own clock, fences,
 * attempts that only rise, ends that are listed until acknowledged. It guards no capacity, but tells
 * when it was exceeded.
 */
class WorkerModel
{
public:
    /** @p clockRate is the speed of its clock against true time. */
    WorkerModel(WorkerIdentity identity, double clockRate, MonotonicTime bornAt);

    WorkerReply call(const WorkerCall &call, MonotonicTime now);

    /** Ends what is due by @p now. */
    void advance(MonotonicTime now);

    /** Ends everything without listing it: the worker dies. */
    void crash(MonotonicTime now);

    /** When a hold that begins now would have something to tell; the end of time if nothing is due. */
    MonotonicTime nextEnd() const;

    bool hasEndsAfter(int64_t endsSeen) const
    {
        return !ended_.empty() && ended_.back().number > endsSeen;
    }

    const WorkerIdentity &identity() const
    {
        return identity_;
    }

    const std::vector<RunInterval> &history() const
    {
        return history_;
    }

    /** The most that ran at once, in thousandths of a core. */
    int peakCpuMillis() const
    {
        return peakCpuMillis_;
    }

    int64_t clockMs(MonotonicTime now) const;

    double runTimeFactor = 1; ///< Tasks take so many times as long as their spec says.
    bool isFailing = false; ///< Everything that starts fails at once.
    bool hangsNewRuns = false; ///< Nothing that starts comes to an end.

private:
    struct Running
    {
        size_t interval = 0; ///< In the history.
        MonotonicTime endsAt;
        EndKind kind = EndKind::Done;
        int cpuMillis = 0;
    };

    WorkerReply carryOut(const StartRun &call, MonotonicTime now);
    WorkerReply carryOut(const StopRun &call, MonotonicTime now);
    WorkerReply carryOut(const PollRuns &call, MonotonicTime now);
    void extend(int64_t leaseEndMs, MonotonicTime now);
    void end(const RunKey &key, EndKind kind, MonotonicTime at);
    MonotonicTime leaseEnd() const;

    const WorkerIdentity identity_;
    const double clockRate_;
    const MonotonicTime bornAt_;
    int64_t fence_ = 0;
    int64_t leaseEndMs_ = 0;
    int64_t lastEnd_ = 0;
    std::map<RunKey, Running> running_;
    std::map<RunKey, int64_t> lastAttempt_; ///< By the task, with attempt 0.
    std::vector<ListedEnd> ended_;
    std::vector<RunInterval> history_;
    int peakCpuMillis_ = 0;
};

/** The spec of a task that takes that long and needs that much of a processor. */
std::string makeSpec(int runMs, int cpuMillis);

} // namespace marjoramferry
