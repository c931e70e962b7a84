#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace marjoramferry {

/**
 * Learns how long tasks run, by queue and by worker.
 *
 * Callers' estimates are far off, and so is the mean of a queue for a single task. The two errors are
 * independent and of like size, so the geometric mean of both is the better guess.
 */
class RunTimeBook
{
public:
    void note(const std::string &queue, const std::string &worker, double ranMs);

    /** Guess of a task's run time on a worker of middling speed. */
    Milliseconds expect(const std::string &queue, Milliseconds estimate) const;

    /** How much longer than on a middling worker a task takes on this one; 1 if nothing is known. */
    double slowness(const std::string &worker) const;

private:
    struct Mean
    {
        double logSum = 0;
        double weight = 0;

        void add(double logValue, double memory);
        double log() const
        {
            return logSum / weight;
        }
    };

    std::map<std::string, Mean> queues_;
    std::map<std::string, Mean> workers_; ///< Of run time relative to the queue's mean.
};

} // namespace marjoramferry
