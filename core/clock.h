#pragma once

#include "core/time.h"

namespace marjoramferry {

/**
 * Current time of a monotonic clock that also advances while the machine is suspended. Leases and
 * evidence ages need this, as time passes for the other processes during a suspend.
 */
MonotonicTime monotonicNow();

/** Current time of a monotonic clock that stands still while the machine is suspended, to measure how long it was. */
MonotonicTime monotonicNowWithoutSuspension();

/** Wall time in Unix milliseconds. It may jump: use it for names and ordering across processes, not for durations. */
int64_t wallMilliseconds();

} // namespace marjoramferry
