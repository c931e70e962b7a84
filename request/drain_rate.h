#pragma once

#include "core/time.h"

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

    /** 0 until work was dispatched. */
    double rate() const
    {
        return rate_;
    }

private:
    double dispatchedWork_ = 0; ///< Since measuredAt_.
    double rate_ = 0;
    MonotonicTime measuredAt_;
    bool wasBacklogged_ = false; ///< Whether jobs have waited without a break since measuredAt_.
};

} // namespace marjoramferry
