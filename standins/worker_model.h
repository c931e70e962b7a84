#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** The time span of one run of a task on a worker. */
struct RunInterval
{
    RunKey key;
    std::string worker;
    MonotonicTime from;
    MonotonicTime to; ///< MonotonicTime::max() while the run is active.
    bool hasSucceeded = false; ///< Whether the run ended with EndKind::Done.
};

/**
 * Simulates a worker that handles the calls of its agent, with time passed in by the caller.
 *
 * Leases are measured on the worker's own clock. Calls with an outdated fence and starts with an outdated
 * attempt number are rejected. Run ends are listed until the agent acknowledges them. Capacity is not
 * enforced; peakCpuMillis() shows whether it was exceeded.
 */
class WorkerModel
{
public:
    /** @p clockRate is the speed of the worker's clock relative to real time. */
    WorkerModel(WorkerIdentity identity, double clockRate, MonotonicTime startTime);

    WorkerReply call(const WorkerCall &call, MonotonicTime now);

    /** Ends all runs that are due by @p now, in order of time. */
    void advance(MonotonicTime now);

    /** Ends all runs as EndKind::Broken, as when the worker process dies. Discard the model afterwards. */
    void crash(MonotonicTime now);

    /** When a run crashes this worker; nothing if no active run does. The owner calls crash() then. */
    std::optional<MonotonicTime> crashTime() const;

    /** Time of the next run end, by completion, stop or lease expiry; MonotonicTime::max() if nothing runs. */
    MonotonicTime nextEndTime() const;

    /** Whether an unacknowledged run end has a number above @p endNumber. */
    bool hasEndsAfter(int64_t endNumber) const
    {
        return !unacknowledgedEnds_.empty() && unacknowledgedEnds_.back().number > endNumber;
    }

    const WorkerIdentity &identity() const
    {
        return identity_;
    }

    const std::vector<RunInterval> &history() const
    {
        return history_;
    }

    /** The highest total demand of concurrent runs, in thousandths of a core. */
    int peakCpuMillis() const
    {
        return peakCpuMillis_;
    }

    /** Reading of the worker's clock, in milliseconds since its start. */
    int64_t clockMs(MonotonicTime now) const;

    double runTimeFactor = 1; ///< Multiplies the run time of the spec.
    bool failsNewRuns = false; ///< New runs fail after 1 ms.
    bool hangsNewRuns = false; ///< New runs end only by a stop or by lease expiry.

private:
    struct ActiveRun
    {
        size_t historyIndex = 0;
        MonotonicTime endTime;
        EndKind kind = EndKind::Done;
        int cpuMillis = 0;
        std::optional<MonotonicTime> crashTime;
    };

    WorkerReply execute(const StartRun &call, MonotonicTime now);
    WorkerReply execute(const StopRun &call, MonotonicTime now);
    WorkerReply execute(const PollRuns &call, MonotonicTime now);
    void extendLease(int64_t leaseEndMs, MonotonicTime now);
    void endRun(const RunKey &key, EndKind kind, MonotonicTime time);
    MonotonicTime leaseEndTime() const;

    const WorkerIdentity identity_;
    const double clockRate_;
    const MonotonicTime startTime_;
    int64_t fence_ = 0;
    int64_t leaseEndMs_ = 0;
    int64_t lastEndNumber_ = 0;
    std::map<RunKey, ActiveRun> activeRuns_;
    std::map<RunKey, int64_t> lastAttempt_; ///< By key of the task, with attempt 0.
    std::vector<ListedEnd> unacknowledgedEnds_;
    std::vector<RunInterval> history_;
    int peakCpuMillis_ = 0;
};

/**
 * Returns the spec of a job's tasks, "RUN_MS/CPU_MILLIS" or "RUN_MS/CPU_MILLIS/TASK" if the task with this index
 * crashes its worker.
 */
std::string makeSpec(int runMs, int cpuMillis, std::optional<int> crashingTask = std::nullopt);

} // namespace marjoramferry
