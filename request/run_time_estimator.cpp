#include "request/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace marjoramferry {

namespace {

/** Older values fade so that about so many of the newest count. */
constexpr double QueueMemory = 100;
/** Workers turn slow from one second to the next. */
constexpr double WorkerMemory = 15;
/** Fewer values than this say too little of a queue or worker. */
constexpr double LeastWeight = 5;

} // namespace

void RunTimeBook::Mean::add(double logValue, double memory)
{
    const double keep = 1 - 1 / memory;
    logSum = logSum * keep + logValue;
    weight = weight * keep + 1;
}

void RunTimeBook::note(const std::string &queue, const std::string &worker, double ranMs)
{
    const double logMs = std::log(std::max(ranMs, 1.0));
    Mean &mean = queues_[queue];
    if (mean.weight >= LeastWeight) {
        workers_[worker].add(logMs - mean.log(), WorkerMemory);
    }
    mean.add(logMs, QueueMemory);
}

Milliseconds RunTimeBook::expect(const std::string &queue, Milliseconds estimate) const
{
    const auto found = queues_.find(queue);
    const double declared = std::max<double>(1, static_cast<double>(estimate.count()));
    if (found == queues_.end() || found->second.weight < LeastWeight) {
        return Milliseconds(std::lround(declared));
    }
    return Milliseconds(std::lround(std::sqrt(declared * std::exp(found->second.log()))));
}

double RunTimeBook::slowness(const std::string &worker) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || found->second.weight < LeastWeight) {
        return 1;
    }
    return std::exp(found->second.log());
}

} // namespace marjoramferry
