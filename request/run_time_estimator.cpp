#include "request/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace marjoramferry {

namespace {

/** Effective number of samples in the exponentially weighted mean of a queue. */
constexpr double QueueWindow = 100;
/** The same for a worker; shorter, because a worker can become slow from one second to the next. */
constexpr double WorkerWindow = 15;
/** A queue or worker with fewer samples than this is treated as unknown. */
constexpr double MinWeight = 5;

} // namespace

void RunTimeEstimator::LogMean::add(double logValue, double window)
{
    const double decay = 1 - 1 / window;
    logSum = logSum * decay + logValue;
    weight = weight * decay + 1;
}

void RunTimeEstimator::recordRun(const std::string &queue, const std::string &worker, double runTimeMs)
{
    const double logMs = std::log(std::max(runTimeMs, 1.0));
    LogMean &queueMean = queues_[queue];
    if (queueMean.weight >= MinWeight) {
        workers_[worker].add(logMs - queueMean.mean(), WorkerWindow);
    }
    queueMean.add(logMs, QueueWindow);
}

Milliseconds RunTimeEstimator::estimateRunTime(const std::string &queue, Milliseconds estimate) const
{
    const auto found = queues_.find(queue);
    const double estimateMs = std::max<double>(1, static_cast<double>(estimate.count()));
    if (found == queues_.end() || found->second.weight < MinWeight) {
        return Milliseconds(std::lround(estimateMs));
    }
    return Milliseconds(std::lround(std::sqrt(estimateMs * std::exp(found->second.mean()))));
}

double RunTimeEstimator::slowdown(const std::string &worker) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || found->second.weight < MinWeight) {
        return 1;
    }
    return std::exp(found->second.mean());
}

} // namespace marjoramferry
