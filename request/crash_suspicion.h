#pragma once

#include "core/time.h"
#include "request/decaying_count.h"
#include "request/queue_scores.h"

#include <messages_types.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace marjoramferry {

/**
 * Estimates which queue's tasks crash their workers.
 *
 * A sequential test: each crash changes the score of a queue by the logarithm of the likelihood that one of its tasks
 * was the cause, relative to a crash that no task caused. A task that crashes its worker does so soon after its start,
 * while a bystander has any age, and each queue is there as often as its share of the running work says. Crashes that
 * only repeat say nothing, and workers that crash in the same instant speak against each queue. A queue with a high
 * score is a suspect until its score has decayed.
 */
class CrashSuspicion
{
public:
    CrashSuspicion();

    /** Records a job of the queue: its work, on any scale, and the run time of its tasks on average. */
    void recordJob(const std::string &queue, double work, Milliseconds runTime, MonotonicTime now);

    /** @p isForSuspects tells whether the worker takes only tasks of the suspects, or none of them. */
    void recordCrash(const wire::WorkerCrash &crash, bool isForSuspects, MonotonicTime now);

    /** Clears suspects whose score has decayed. */
    void update(MonotonicTime now);

    const std::set<std::string> &suspects() const
    {
        return scores_.marked();
    }

    double score(const std::string &queue, MonotonicTime now) const
    {
        return scores_.at(queue, now);
    }

private:
    static constexpr Milliseconds LoadHalfLife{5000};

    /** Decaying sums over the jobs of a queue. */
    struct Load
    {
        DecayingCount jobs{LoadHalfLife};
        DecayingCount work{LoadHalfLife};
        DecayingCount runTimeMs{LoadHalfLife};
    };

    double shareOfWork(const std::string &queue, bool isAmongSuspects, MonotonicTime now) const;
    double meanRunTimeMs(const std::string &queue, MonotonicTime now) const;
    double likelihoodRatio(const wire::WorkerCrash &crash,
                           const std::string &queue,
                           bool isForSuspects,
                           MonotonicTime now) const;

    std::map<std::string, Load> loads_; ///< By queue.
    QueueScores scores_; ///< Marks the suspects.
    std::map<std::string, double> scoresBefore_; ///< By queue, before the latest crashes of one instant.
    std::set<std::tuple<std::string, int, int>> lostTasks_; ///< Tasks that were on a crashed worker.
    double shareOfLost_ = 0.05; ///< Average share of them among the runs on crashed workers.
    MonotonicTime lastCrashAt_;
};

} // namespace marjoramferry
