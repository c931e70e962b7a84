#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace marjoramferry {

/**
 * Estimates task run times and the relative speed of workers from moving averages over completed runs.
 *
 * Both the caller's estimate and the mean of the queue are far off for a single task. The two errors are
 * independent and of similar size, so the geometric mean of both is the better estimate.
 */
class RunTimeEstimator
{
public:
    void recordRun(const std::string &queue, const std::string &worker, double runTimeMs);

    /** Returns the expected run time on a worker of average speed, given the caller's estimate. */
    Milliseconds estimateRunTime(const std::string &queue, Milliseconds estimate) const;

    /** The run time on this worker relative to an average worker; 1 while there are too few samples. */
    double slowdown(const std::string &worker) const;

    void removeWorker(const std::string &worker)
    {
        workers_.erase(worker);
    }

private:
    /** Exponentially weighted mean of logarithms; its exponential is the geometric mean of the values. */
    struct LogMean
    {
        double logSum = 0;
        double weight = 0;

        void add(double logValue, double window);
        double mean() const
        {
            return logSum / weight;
        }
    };

    std::map<std::string, LogMean> queues_;
    std::map<std::string, LogMean> workers_; ///< Of the run time relative to the queue's mean.
};

} // namespace marjoramferry
