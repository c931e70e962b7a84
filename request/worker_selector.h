#pragma once

#include "core/time.h"
#include "request/crash_containment.h"
#include "request/operator_state_cache.h"
#include "request/run_time_estimator.h"
#include "request/work_types.h"
#include "request/worker_directory.h"
#include "request/worker_health.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace marjoramferry {

struct WorkerSelectorOptions
{
    /** If queues differ in priority: share of each worker reserved for the highest priority. */
    double priorityReserve = 0.05;
    /**
     * If queues differ in priority: share of a worker by which runs of the highest priority may exceed its free
     * capacity; at least the demand of one run. These runs wait at the agent.
     */
    double priorityOvercommit = 0.1;
    /**
     * Share of each worker reserved for jobs that can still be in time, as long as its free capacity is in use.
     * Otherwise an entry with few callers would fill the workers with late jobs while jobs that can still be in time
     * wait at other entries.
     */
    double lateReserve = 0.25;
    double remoteSlowdown = 1.5; ///< Factor by which tasks run longer on a worker without their data.
    uint64_t seed = 1;
    bool offers = false; ///< Sends a run to a full worker only if it is likely to start within the queue timeout.
    /**
     * A run that waits longer at its agent for free capacity is returned. Short, because a job is as late as its last
     * task: of many tasks that wait at one worker each, some wait far longer than the average.
     */
    Milliseconds queueTimeout{25};
};

/** Selects a worker for each task by free capacity, speed, data locality and affinity. */
class WorkerSelector
{
public:
    /** A worker that may run tasks of a step, evaluated once for all tasks of the step. */
    struct Candidate
    {
        WorkerView *view = nullptr;
        HealthStatus status = HealthStatus::Healthy;
        Demand overcommit; ///< May be used beyond the free capacity; a negative value is reserved capacity.
        double baseScore = 0; ///< Independent of the free capacity.
    };

    WorkerSelector(WorkerSelectorOptions options,
                   WorkerDirectory &directory,
                   const RunTimeEstimator &runTimes,
                   const WorkerHealth &health,
                   const CrashContainment &containment);

    /** Finds the workers with capacity for a task of the step; @p isLate if the job can't be in time any more. */
    std::vector<Candidate> findCandidates(const WorkStep &step,
                                          const wire::Route &route,
                                          bool isLate,
                                          const OperatorStateCache &operatorState,
                                          MonotonicTime now) const;

    /** The candidate's score for a task at this free capacity; nothing if it can't take the task. */
    static std::optional<double> scoreOf(const Candidate &candidate, const Demand &available, const Demand &demand);

    /** Requests workers outside of the entry's subset for a task that no candidate can take. */
    void requestWorkers(const WorkStep &step,
                        const wire::Route &route,
                        const OperatorStateCache &operatorState,
                        MonotonicTime now);

    /**
     * Returns the best candidate by its current free capacity, or nullptr if none can take the task. If @p onlyAgent
     * is not empty, only the worker of this agent may.
     */
    Candidate *selectWorker(std::vector<Candidate> &candidates,
                            const Demand &demand,
                            const std::vector<std::string> &excludedWorkers,
                            const std::string &onlyAgent);

private:
    Demand overcommitFor(const WorkerView &view,
                         const Demand &demand,
                         const wire::Route &route,
                         bool isLate,
                         const OperatorStateCache &operatorState,
                         MonotonicTime now) const;
    bool isStartLikely(const WorkerView &view, const Demand &demand, MonotonicTime now) const;

    const WorkerSelectorOptions options_;
    WorkerDirectory &directory_;
    const RunTimeEstimator &runTimes_;
    const WorkerHealth &health_;
    const CrashContainment &containment_;
    std::mt19937_64 random_;
};

} // namespace marjoramferry
