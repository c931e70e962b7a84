#pragma once

#include "core/time.h"
#include "request/capacity_estimate.h"
#include "request/decaying_count.h"

#include <map>
#include <string>

namespace marjoramferry {

/**
 * Divides the capacity that the entry gets among its queues, for the load "one queue bursts beyond the capacity".
 *
 * Work is in thousandths of a core times milliseconds, rates are work per millisecond. Higher priorities are served
 * first. The rest is divided within a priority into max-min fair shares, weighted by the load before the shortage.
 * A queue is never beyond its share while it offers no more than it used before the shortage.
 */
class QueueShares
{
public:
    /** Records the work of an arrived job. */
    void recordOffered(const std::string &queue, int priority, double work, MonotonicTime now);

    /** Records the work of a dispatched task; negative if the task was returned unstarted. */
    void recordDispatched(const std::string &queue, double work, MonotonicTime now);

    /** Ends a dispatch pass; @p isWorkWaiting tells whether jobs wait for the next one. */
    void endPass(bool isWorkWaiting, MonotonicTime now);

    /** @p usableCpuMillis is the capacity of all usable workers. */
    void followCapacity(double usableCpuMillis)
    {
        capacity_.followCapacity(usableCpuMillis);
    }

    const CapacityEstimate &capacity() const
    {
        return capacity_;
    }

    /** Whether there is a full second of measurements. */
    bool isMeasured(MonotonicTime now) const;

    double offeredRate(const std::string &queue, MonotonicTime now) const;

    /** Rate at which the queue was served while no work waited; what it offers, until that is measured. */
    double normalRate(const std::string &queue, MonotonicTime now) const;

    /** The sum of normalRate() of all queues. */
    double normalRate(MonotonicTime now) const;

    /** The rate at which the queue is served before work beyond the shares of other queues. */
    double shareOf(const std::string &queue, MonotonicTime now) const;

    /** Whether the queue offers more than its share. */
    bool isBeyondShare(const std::string &queue, MonotonicTime now) const;

    /**
     * Whether the next job of the queue, with the given work, is within its share. If the queue offers more than its
     * share, the jobs within it are spread evenly among all of them.
     */
    bool takeShare(const std::string &queue, double work, MonotonicTime now);

private:
    struct Queue
    {
        int priority = 0;
        MonotonicTime firstJobAt;
        DecayingCount offered;
        DecayingCount dispatched;
        double normalRate = 0; ///< Average of the dispatched work while no work waited.
        Milliseconds normalTime{0}; ///< Time that the average covers, up to its length.
        double credit = 0; ///< Work of the share that was not taken yet.
    };

    double averageRate(const DecayingCount &work, MonotonicTime since, MonotonicTime now) const;
    double normalRate(const Queue &queue, MonotonicTime now) const;
    std::map<std::string, double> divide(MonotonicTime now) const;

    std::map<std::string, Queue> queues_;
    CapacityEstimate capacity_;
    MonotonicTime startedAt_;
    MonotonicTime normalUpdatedAt_;
};

} // namespace marjoramferry
