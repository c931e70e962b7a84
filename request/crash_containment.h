#pragma once

#include "core/time.h"
#include "request/crash_tracker.h"
#include "request/operator_state_cache.h"
#include "request/queue_isolation.h"
#include "request/work_command.h"
#include "request/worker_directory.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace marjoramferry {

/** Whether a task may be started again after crashes of workers on which it was running. */
enum class CrashVerdict {
    MayStart,
    LikelyCause, ///< It is the likely cause of so many crashes that its job fails.
    CauseUnclear, ///< It was on so many crashed workers that it must not be started again, whatever the cause.
};

/**
 * Limits what tasks that crash their workers cost others: gives such tasks up, and keeps their queue to workers of its
 * own. Decides for all services.
 */
class CrashContainment
{
public:
    explicit CrashContainment(const WorkerDirectory &directory);

    /** Records a submitted job, the work of its tasks (thousandths of a core times ms) and their mean run time. */
    void recordJob(const wire::Route &route, double work, Milliseconds runTime, MonotonicTime now);

    /** Records the first start of a task of the job. */
    void recordStart(const wire::Route &route, MonotonicTime now);

    /** Records a report of a crash of the agent's worker; returns false if it says nothing new. */
    bool recordCrash(const std::string &agent,
                     const wire::WorkerCrash &crash,
                     const std::function<bool(const std::string &jobId)> &isOwnJob,
                     MonotonicTime now);

    /** Selects the workers of isolated queues. */
    void update(const OperatorStateCache &operatorState, MonotonicTime now);

    CrashVerdict verdictOnTask(const std::string &jobId, int step, int task) const;

    /** The verdict on the task of the job that crashed the most workers. */
    CrashVerdict verdictOnJob(const std::string &jobId) const;

    /** The crashes of workers on which the task was running. */
    CrashCounts countsOf(const std::string &jobId, int step, int task) const;

    /** Whether a worker has crashed on which a task of the job was running. */
    bool hasCrashedUnder(const std::string &jobId) const;

    bool isIsolated(const wire::Route &route) const;

    /** The isolation of the service's queues; nullptr if it has had no job. */
    const QueueIsolation *isolationOf(const std::string &service) const;

    /** Whether a job of the queue can't be started in time, or at all, on isolated workers. */
    bool isWithoutHope(const wire::Route &route, MonotonicTime latestStartAt, MonotonicTime now) const;

    /** Whether the task of an isolated queue may be the one that crashed a worker. */
    bool needsProbe(const wire::Route &route, const std::string &jobId, int step, int task) const;

    /** The agent of the worker to start such a task on, at most one at a time; empty if it has to wait. */
    std::string findProbeAgent(const wire::Route &route, MonotonicTime now) const;

    void beginProbe()
    {
        ++activeProbes_;
    }

    void endProbe()
    {
        --activeProbes_;
    }

    std::vector<WorkCommand> takeCommands()
    {
        return out_.take();
    }

private:
    bool isUsable(const std::string &agent, MonotonicTime now) const;
    void logIsolatedQueues(const std::string &service, const QueueIsolation &isolation, MonotonicTime now);

    const WorkerDirectory &directory_;
    CrashTracker crashes_;
    std::map<std::string, QueueIsolation> isolations_; ///< By service.
    int activeProbes_ = 0;
    WorkOutbox out_;
};

} // namespace marjoramferry
