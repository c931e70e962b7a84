#include "core/suspension_meter.h"

#include <utility>

namespace marjoramferry {

Milliseconds SuspensionMeter::measure(MonotonicTime withSuspension, MonotonicTime withoutSuspension)
{
    const MonotonicTime::duration difference = withSuspension - withoutSuspension;
    const auto last = std::exchange(lastDifference_, difference);
    return std::chrono::duration_cast<Milliseconds>(difference - last.value_or(difference));
}

} // namespace marjoramferry
