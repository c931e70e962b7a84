#pragma once

#include <chrono>

namespace marjoramferry {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** A time of this process's monotonic clock. Decision logic receives it as a parameter and never reads a clock. */
using MonotonicTime = std::chrono::steady_clock::time_point;

/** Wall time, for data that outlives a process. It must only decide how long rows are kept. */
using WallTime = std::chrono::system_clock::time_point;

/** Returns the time from @p earlier to @p later in milliseconds, rounded toward zero. */
inline int millisecondsBetween(MonotonicTime earlier, MonotonicTime later)
{
    return static_cast<int>(std::chrono::duration_cast<Milliseconds>(later - earlier).count());
}

} // namespace marjoramferry
