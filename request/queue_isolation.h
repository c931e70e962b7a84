#pragma once

#include "core/time.h"
#include "request/crash_suspicion.h"
#include "request/crash_warnings.h"
#include "request/decaying_count.h"
#include "request/worker_directory.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

/**
 * Keeps queues of a service whose tasks crash their workers away from the others.
 *
 * Isolated queues use only a group of the workers, and the other queues only the rest. All entries order the workers in
 * the same way and take the group from the start of the order, so their groups differ by few workers. The group is as
 * large as the load of the other queues permits.
 *
 * The evidence for isolation takes several crashes. Until then, queues under a warning prefer the group and the others
 * avoid it, but each may use all workers: a wrong warning costs no capacity and rejects no job.
 */
class QueueIsolation
{
public:
    explicit QueueIsolation(std::string service);

    /** Records a job, the work of its tasks in thousandths of a core times milliseconds, and their mean run time. */
    void recordJob(const std::string &queue, double work, Milliseconds runTime, MonotonicTime now);

    /** @p isOwnJob tells whether this entry has the job. */
    void recordCrash(const std::string &agent,
                     const wire::WorkerCrash &crash,
                     const std::function<bool(const std::string &jobId)> &isOwnJob,
                     MonotonicTime now);

    /** Records the first start of a task of a job of an isolated queue or one under a warning. */
    void recordStartedJob(MonotonicTime now);

    /**
     * The number of jobs of an isolated queue that may be on one worker at a time. More jobs use the worker better
     * while it is up, and more are lost when one of them crashes it.
     */
    double maxJobsPerWorker(Milliseconds runTime, MonotonicTime now) const;

    /** Selects the group anew if that is due. Returns whether the isolated queues or the warnings changed. */
    bool update(const WorkerDirectory &directory, const OperatorStateCache &operatorState, MonotonicTime now);

    bool isIsolated(const std::string &queue) const
    {
        return suspicion_.suspects().contains(queue);
    }

    const std::set<std::string> &isolatedQueues() const
    {
        return suspicion_.suspects();
    }

    /** Queues that may crash workers and are not isolated. */
    std::set<std::string> warnedQueues() const;

    /** Whether the queue is isolated or under a warning. */
    bool usesGroup(const std::string &queue) const
    {
        return isIsolated(queue) || warnings_.queues().contains(queue);
    }

    /** The agents of the workers that isolated queues use, in the order in which they use them. */
    const std::vector<std::string> &group() const
    {
        return group_;
    }

    bool mayUse(const std::string &queue, const std::string &agent) const
    {
        const bool isInGroup = positions_.contains(agent);
        return isInGroup ? usesGroup(queue) : !isIsolated(queue);
    }

    /** Whether isolated queues have crashed a worker a short time ago, so that the next crash is likely soon. */
    bool isCautious(MonotonicTime now) const;

    /** When isolated queues last crashed a worker. */
    MonotonicTime lastCrashAt() const
    {
        return lastCrashAt_;
    }

    /**
     * Rank of the worker for the queue, from 0 for the one to use first to 1 for those to use last: queues that use the
     * group fill its workers in their order, and all queues avoid the workers meant for others.
     */
    double rankOf(const std::string &queue, const std::string &agent) const;

    double score(const std::string &queue, MonotonicTime now) const
    {
        return suspicion_.score(queue, now);
    }

private:
    static constexpr Milliseconds RiskHalfLife{5000};

    using Workers = std::vector<const WorkerView *>;

    void measureLoad(const WorkerDirectory &directory, MonotonicTime now);
    Workers eligibleWorkers(const WorkerDirectory &directory, const OperatorStateCache &operatorState) const;
    void selectGroup(Workers workers);
    double groupShareOfWork() const;

    const std::string service_;
    CrashSuspicion suspicion_;
    CrashWarnings warnings_;
    DecayingCount startedJobs_{RiskHalfLife}; ///< Of queues that use the group, by this entry.
    DecayingCount crashingJobs_{RiskHalfLife}; ///< Those of them that crashed a worker.
    std::map<std::string, double> work_; ///< By queue; decays.
    double load_ = 0; ///< Average share of the workers' capacity in use, before there was a group.
    double othersLoad_ = 0; ///< Average share of it that the other queues use.
    std::vector<std::string> group_;
    absl::flat_hash_map<std::string, size_t> positions_; ///< In group_, by agent.
    size_t knownWorkers_ = 0;
    MonotonicTime knownSince_; ///< Of the number of known workers.
    std::set<std::string> loggedIsolated_;
    std::set<std::string> loggedWarned_;
    MonotonicTime lastCrashAt_; ///< Under a run of a queue that uses the group.
    MonotonicTime updatedAt_;
    MonotonicTime measuredAt_;
};

} // namespace marjoramferry
