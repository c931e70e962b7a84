#pragma once

#include "core/time.h"
#include "request/crash_containment.h"
#include "request/drain_rate.h"
#include "request/job_admission.h"
#include "request/operator_state_cache.h"
#include "request/placement_explanation.h"
#include "request/run_time_estimator.h"
#include "request/started_jobs.h"
#include "request/work_command.h"
#include "request/work_types.h"
#include "request/worker_directory.h"
#include "request/worker_health.h"
#include "request/worker_selector.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

struct WorkSchedulerOptions
{
    WorkerSelectorOptions selector;
    /** Share of the caller's timeout after which a job that has not started is rejected. */
    double queueTimeShare = 0.35;
    Milliseconds defaultTimeout{3000}; ///< For callers that send no timeout.
    int overdueFactor = 3; ///< A task that exceeds its expected run time by this factor is restarted elsewhere.
    /** Replaces overdueFactor if the worker has completed other tasks since: the task is likely long, not stalled. */
    int activeWorkerOverdueFactor = 6;
    Milliseconds minOverrun{150}; ///< Minimum excess over the expected run time before a task is overdue.
    double retryRatio = 0.1; ///< Retries of overdue tasks, as a share of all dispatches.
    /** Share of the expected run time by which a job should start early: estimates err low as often as high. */
    double startMargin = 0.25;
    /** A job precedes one of the next lower priority whose latest start is up to this much earlier. */
    Milliseconds priorityStep{60};
    bool admission = false; ///< Judges arriving jobs by their queue's share and expected end.
};

/**
 * Admits the jobs of this entry, queues them and dispatches their tasks to workers.
 *
 * Jobs that can still meet their latency objective precede those that can't. Within both groups, jobs are ordered
 * by their latest start time, which each priority level shifts by WorkSchedulerOptions::priorityStep. A job is
 * rejected only before any of its tasks has been sent to a worker.
 */
class WorkScheduler
{
public:
    WorkScheduler(WorkSchedulerOptions options, WorkerDirectory &directory);

    void submit(const SubmitWork &call, const wire::Route &route, const std::string &jobId, MonotonicTime now);

    /** Expected run time of the job on idle workers. */
    Milliseconds expectedJobRunTime(const WorkJob &job, const wire::Route &route) const;

    /** Cancels a job; returns false if there is no such job. */
    bool cancel(const std::string &jobId, MonotonicTime now);
    bool hasJob(const std::string &jobId) const
    {
        return jobs_.contains(jobId);
    }

    /** Explains where the tasks of a job with one step would be placed if it was submitted now. */
    PlacementExplanation explain(const SubmitWork &call,
                                 const wire::Route &route,
                                 const OperatorStateCache &operatorState,
                                 MonotonicTime now) const;

    /**
     * The answer to a job of which this submission runs no task. A rejection says that no task has run, so the job is
     * interrupted if a task of an earlier submission may have run, also at another entry's order.
     */
    ResponseStatus refusalStatus(const std::string &jobId, MonotonicTime now);

    /** Drops a call whose caller disconnected; stops its job if no other call waits for it. */
    void abandonCall(uint64_t token, MonotonicTime now);

    /** The number of jobs of the queue that have not started. */
    int countPendingJobs(const std::string &queue) const;

    void handleRunEnd(const std::string &agent, const wire::RunEnd &end, MonotonicTime now);

    /** Handles the loss of all runs at the agent that belong to sessions before @p session. */
    void handleLostRuns(const std::string &agent, int64_t session, MonotonicTime now);

    /** Records a crash of a worker, whichever entry ordered the runs on it. */
    void handleWorkerCrash(const std::string &agent, const wire::WorkerCrash &crash, MonotonicTime now);

    /** Drops the records of a worker that will not return. */
    void removeWorker(const std::string &worker)
    {
        health_.removeWorker(worker);
        runTimes_.removeWorker(worker);
    }

    /** Dispatches tasks to workers with free capacity and rejects jobs that waited too long. */
    void schedule(const OperatorStateCache &operatorState, MonotonicTime now);

    /** Stops all jobs and responds to all calls. */
    void interruptAllJobs(const std::string &reason, MonotonicTime now);

    bool isEmpty() const
    {
        return jobs_.empty();
    }

    std::vector<WorkCommand> takeCommands();

    std::vector<CallResponse> takeResponses()
    {
        return std::exchange(responses_, {});
    }

private:
    enum class TaskState { Queued, Dispatched, Done };

    struct Task
    {
        TaskState state = TaskState::Queued;
        int64_t attempt = 0;
        int failures = 0;
        int lostRuns = 0; ///< Runs that may have started and no longer exist.
        std::vector<std::string> excludedWorkers; ///< Workers on which the task failed or was overdue.
    };

    struct Step
    {
        WorkStep definition;
        std::vector<Task> tasks;
        int remainingTasks = 0; ///< Tasks that are not done.
        Milliseconds expectedRunTime{0}; ///< Of one task, on a worker of average speed.
    };

    /** In thousandths of a core times milliseconds. */
    static double workOfTask(const Step &step)
    {
        return static_cast<double>(step.expectedRunTime.count()) * step.definition.demand.cpuMillis;
    }

    struct Job
    {
        std::string id;
        int64_t submission = 0; ///< Tells apart submissions of the same job, one after the other ended.
        std::string requestId;
        std::vector<uint64_t> tokens; ///< Calls that wait for the response.
        wire::Route route;
        std::string spec;
        std::vector<Step> steps;
        MonotonicTime arrivedAt;
        MonotonicTime latestStartAt; ///< A job that starts later counts as late.
        MonotonicTime sortKey; ///< Order in the queue: latestStartAt, shifted by the queue's priority.
        MonotonicTime rejectAt; ///< A job that has not started by then is rejected.
        MonotonicTime deadlineAt;
        double remainingWork = 0; ///< Of the undispatched tasks, in thousandths of a core times milliseconds.
        JobNeeds needs; ///< As of the job's arrival.
        JobProspect prospect = JobProspect::InTime; ///< Predicted on arrival.
        int queuedTasks = 0; ///< Tasks that wait for dispatch.
        int remainingTasks = 0; ///< Tasks that are not done.
        bool hasStarted = false;
    };

    struct Run
    {
        std::string jobId;
        int64_t submission = 0;
        int step = 0;
        int task = 0;
        std::string agent;
        std::string worker;
        int64_t session = 0;
        MonotonicTime dispatchedAt;
        MonotonicTime overdueAt;
        bool isWithdrawn = false;
        bool isProbe = false; ///< Of a task that may have crashed a worker.
    };

    /** Sort key of a job in the queue. */
    struct QueuePosition
    {
        JobProspect prospect = JobProspect::InTime;
        MonotonicTime sortKey;
        std::string jobId;

        /** Served after the jobs in time, with the rest of the capacity. */
        bool isLate() const
        {
            return prospect != JobProspect::InTime;
        }

        auto operator<=>(const QueuePosition &) const = default;
    };

    Job makeJob(const SubmitWork &call, const wire::Route &route, const std::string &jobId, MonotonicTime now) const;
    static QueuePosition queuePositionOf(const Job &job, MonotonicTime now);
    bool admitJob(Job &job, JobAdmission &admission, MonotonicTime now) const;
    double workAheadOf(const QueuePosition &position) const;
    void followCapacity(const OperatorStateCache &operatorState, MonotonicTime now);
    void rejectHopelessJobs(MonotonicTime now);
    void updateQueuePositions(MonotonicTime now);
    void enqueueJob(Job &job, MonotonicTime now);
    void reportWaitingWork(MonotonicTime now);
    void checkDeadlines(MonotonicTime now);
    bool isWorthRisk(const Job &job, const Step &step, const WorkerView &view, MonotonicTime now) const;
    void dispatchTasks(const OperatorStateCache &operatorState, MonotonicTime now);
    bool dispatchJob(Job &job, const OperatorStateCache &operatorState, MonotonicTime now);
    bool isReady(const Job &job, const Step &step) const;
    std::vector<std::string> excludedWorkers(const Job &job, int stepIndex, int taskIndex) const;
    void dispatchTask(Job &job, int step, int task, WorkerView &view, MonotonicTime now);
    MonotonicTime overdueAt(const Step &step, const std::string &worker, MonotonicTime dispatchedAt, int factor) const;
    void withdrawOverdueRuns(MonotonicTime now);
    void
    endRun(int64_t number, wire::RunOutcome::type outcome, const std::string &reason, int ranMs, MonotonicTime now);
    void handleTaskDone(Job &job, const Run &run, int ranMs);
    void handleTaskFailed(Job &job, const Run &run, MonotonicTime now);
    void countReturnedWork(Job &job, const Run &run, MonotonicTime now);
    void requeueTask(Job &job, Task &task, MonotonicTime now);
    void finishJob(const std::string &jobId, ResponseStatus status, const std::string &reason, MonotonicTime now);
    void giveUpAfterCrashes(const std::string &jobId, CrashVerdict verdict, MonotonicTime now);
    void withdrawRuns(const std::string &jobId, MonotonicTime now);
    Milliseconds retryAfterDelay(const Job &job, MonotonicTime now);

    const WorkSchedulerOptions options_;
    WorkerDirectory &directory_;
    RunTimeEstimator runTimes_;
    WorkerHealth health_;
    CrashContainment containment_;
    DrainRate drainRate_;
    JobAdmission admission_;
    StartedJobs startedJobs_;
    WorkerSelector selector_;
    absl::flat_hash_map<std::string, Job> jobs_;
    std::map<int64_t, Run> runs_;
    absl::flat_hash_map<std::string, absl::flat_hash_set<int64_t>> runsByJob_; ///< Includes runs of finished jobs.
    absl::flat_hash_map<uint64_t, std::string> jobsByToken_;
    std::set<QueuePosition> queue_; ///< Jobs with tasks that wait for dispatch.
    absl::flat_hash_map<std::string, QueuePosition> queuePositions_;
    int64_t lastRunNumber_ = 0;
    int64_t lastSubmission_ = 0;
    double retryBudget_ = 5;
    MonotonicTime lastCheckAt_;
    WorkOutbox out_;
    std::vector<CallResponse> responses_;
};

} // namespace marjoramferry
