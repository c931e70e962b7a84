#include "request/worker_lease.h"

namespace marjoramferry {

namespace {

/** A worker's clock may be 2% slow (platform bound); the double covers this process's own error. */
constexpr int SlowClockPercent = 4;
/** What a stop takes on the worker, 50 ms by its platform's bound, and the way there. */
constexpr Milliseconds StopMargin{100};

} // namespace

void WorkerLease::noteClock(int64_t clockMs, MonotonicTime now)
{
    if (clockMs_ && clockMs < *clockMs_) {
        return;
    }
    clockMs_ = clockMs;
    clockSeenAt_ = now;
}

void WorkerLease::reset()
{
    clockMs_.reset();
    endMs_ = 0;
    isDoubtful_ = false;
}

int64_t WorkerLease::extend(MonotonicTime now)
{
    if (isDoubtful_ && endMs_ != 0) {
        return endMs_;
    }
    endMs_ = clockMs_.value_or(0) + millisecondsBetween(clockSeenAt_, now) + length_.count();
    extendedAt_ = now;
    return endMs_;
}

bool WorkerLease::hasLapsed(MonotonicTime now) const
{
    const auto longest = length_ + length_ * SlowClockPercent / 100 + StopMargin;
    return now - extendedAt_ > longest;
}

} // namespace marjoramferry
