#include "core/clock.h"

#include <ctime>

namespace marjoramferry {

MonotonicTime monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return MonotonicTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

MonotonicTime monotonicNowWithoutSuspension()
{
    return std::chrono::steady_clock::now();
}

int64_t wallMilliseconds()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(wall).count();
}

} // namespace marjoramferry
