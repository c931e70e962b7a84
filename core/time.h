#pragma once

#include <chrono>

namespace marjoramferry {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** A point on this process's monotonic clock. Decisions are handed it and never read a clock. */
using MonotonicTime = std::chrono::steady_clock::time_point;

/** Wall time, for what outlives a process. It decides nothing but how long rows are kept. */
using WallTime = std::chrono::system_clock::time_point;

/** Whole milliseconds from @p earlier to @p later. */
inline int millisecondsBetween(MonotonicTime earlier, MonotonicTime later)
{
    return static_cast<int>(std::chrono::duration_cast<Milliseconds>(later - earlier).count());
}

} // namespace marjoramferry
