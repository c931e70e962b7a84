#include "request/drain_rate.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/** Measurement window, and the weight of the previous value in the moving average. */
constexpr Milliseconds Window{100};
constexpr double PreviousWeight = 0.6;

} // namespace

void DrainRate::update(bool isWorkWaiting, MonotonicTime now)
{
    if (now - measuredAt_ >= Window) {
        const double rate = dispatchedWork_ / std::max(1, millisecondsBetween(measuredAt_, now));
        const double previousWeight = rate_ > 0 ? PreviousWeight : 0;
        rate_ = wasBacklogged_ ? rate_ * previousWeight + rate * (1 - previousWeight) : std::max(rate_, rate);
        dispatchedWork_ = 0;
        measuredAt_ = now;
        wasBacklogged_ = true;
    }
    wasBacklogged_ = wasBacklogged_ && isWorkWaiting;
}

} // namespace marjoramferry
