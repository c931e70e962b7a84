#pragma once

#include "core/time.h"

namespace marjoramferry {

/**
 * The work that the entry dispatches per millisecond while jobs wait, in thousandths of a core.
 *
 * The entry shares the workers with others, so this is what it gets of their capacity. Time in which no job waits is
 * left out: the work dispatched then is only a lower bound.
 */
class CapacityEstimate
{
public:
    /** Records the work of a dispatched task; negative if the task was returned unstarted. */
    void recordDispatched(double work)
    {
        dispatchedWork_ += work;
    }

    /** Ends a dispatch pass; @p isWorkWaiting tells whether jobs wait for the next one. */
    void endPass(bool isWorkWaiting, MonotonicTime now);

    /** Adapts the rate to the capacity of the usable workers if some were lost while jobs wait. */
    void followCapacity(double usableCpuMillis);

    /** 0 until work was dispatched. */
    double rate() const
    {
        return rate_;
    }

    /** Standard error of the rate, as a share of it. */
    double relativeError() const;

    /** When the rate was last measured while jobs waited. */
    MonotonicTime measuredAt() const
    {
        return measuredAt_;
    }

    /** Whether jobs have waited most of the time recently. */
    bool isShort() const
    {
        return waitingShare_ > 0.5;
    }

private:
    void measure();
    void updateAverages(MonotonicTime now);

    double rate_ = 0;
    double variance_ = 0; ///< Of the rate of one measurement.
    double dispatchedWork_ = 0; ///< Since the last pass.
    double waitedWork_ = 0; ///< Dispatched while jobs waited, since the last measurement.
    double waitedMs_ = 0; ///< Time that jobs waited since the last measurement.
    double windowWork_ = 0; ///< Dispatched since windowBegan_.
    double windowWaitedMs_ = 0;
    double averageRate_ = 0; ///< Of all dispatched work, whether or not jobs waited.
    double waitingShare_ = 0; ///< Moving average of the share of time in which jobs waited.
    double usableCpuMillis_ = 0;
    bool isWorkWaiting_ = false;
    MonotonicTime passedAt_;
    MonotonicTime windowBegan_;
    MonotonicTime measuredAt_;
};

} // namespace marjoramferry
