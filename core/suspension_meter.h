#pragma once

#include "core/time.h"

#include <optional>

namespace marjoramferry {

/** Measures suspensions of the machine by two monotonic clocks, of which one counts that time and the other doesn't. */
class SuspensionMeter
{
public:
    /** Returns for how long the machine was suspended since the last call; the arguments are the clocks' readings. */
    Milliseconds measure(MonotonicTime withSuspension, MonotonicTime withoutSuspension);

private:
    std::optional<MonotonicTime::duration> lastDifference_;
};

} // namespace marjoramferry
