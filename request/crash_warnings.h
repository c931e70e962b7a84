#pragma once

#include "core/time.h"
#include "request/decaying_count.h"
#include "request/queue_scores.h"

#include <messages_types.h>

#include <map>
#include <set>
#include <string>

namespace marjoramferry {

/**
 * Names queues whose tasks may crash their workers, from the first crash on.
 *
 * A task that crashes its worker usually does so soon after its start. So the queue of the runs that started last
 * before a crash is more likely the cause, the more so the fewer jobs it has, and a queue without a run on the worker
 * is not. Each crash changes the score of a queue by the logarithm of this likelihood, relative to a crash that no
 * task caused. Workers that crash together do so for another reason and count as one crash. A queue with a high score
 * is under a warning until its score has decayed. Most warnings are wrong if workers crash by themselves, so they only
 * guide the choice of workers; CrashSuspicion collects the evidence for more.
 */
class CrashWarnings
{
public:
    CrashWarnings();

    /** Records a job of the queue, for the queue's share of all jobs. */
    void recordJob(const std::string &queue, MonotonicTime now);

    /** @p isForWarned tells whether the worker is one of those that queues under a warning prefer. */
    void recordCrash(const wire::WorkerCrash &crash, bool isForWarned, MonotonicTime now);

    /** Clears queues whose score has decayed. */
    void update(MonotonicTime now);

    const std::set<std::string> &queues() const
    {
        return scores_.marked();
    }

    double score(const std::string &queue, MonotonicTime now) const
    {
        return scores_.at(queue, now);
    }

private:
    double shareOfJobs(const std::string &queue, MonotonicTime now) const;

    std::map<std::string, DecayingCount> jobs_; ///< By queue.
    QueueScores scores_; ///< Marks the queues under a warning.
    MonotonicTime lastCrashAt_;
};

} // namespace marjoramferry
