#pragma once

#include "core/time.h"

namespace marjoramferry {

/**
 * Now, on a clock that never goes back and also counts the time that the machine was suspended.
 * Leases and ages need the latter: the rest of the world went on meanwhile.
 */
MonotonicTime monotonicNow();

/** Unix milliseconds. May jump; only for names and order between processes, never for spans. */
int64_t wallMilliseconds();

} // namespace marjoramferry
