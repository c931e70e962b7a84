#pragma once

#include "core/time.h"

#include <cstdint>

namespace marjoramferry {

/** Moving average of the work dispatched per millisecond while jobs wait, in thousandths of a core. */
class DrainRate
{
public:
    void recordDispatched(double work)
    {
        dispatchedWork_ += work;
    }

    /** @p isWorkWaiting tells whether jobs wait at present. */
    void update(bool isWorkWaiting, MonotonicTime now);

    /** Whether work was dispatched. */
    bool isKnown() const
    {
        return rate_ > 0;
    }

    /** The time in which this work is dispatched. */
    Milliseconds timeFor(double work) const
    {
        return Milliseconds(static_cast<int64_t>(work / rate_));
    }

private:
    double dispatchedWork_ = 0; ///< Since measuredAt_.
    double rate_ = 0;
    MonotonicTime measuredAt_;
    bool wasBacklogged_ = false; ///< Whether jobs have waited without a break since measuredAt_.
};

} // namespace marjoramferry
