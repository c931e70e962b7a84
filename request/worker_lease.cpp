#include "request/worker_lease.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/** A worker's clock may be 2% slow (platform bound); doubled to cover the error of this process's clock. */
constexpr int SlowClockPercent = 4;
/** Error of this process's clock in comparison with a worker's clock that is not slow. */
constexpr int ClockDriftPerMille = 1;
/** Time to stop a run on the worker, at most 50 ms by the platform's bound, plus network delay. */
constexpr Milliseconds StopMargin{100};

/** Transmission of the last message before the silence. */
constexpr Milliseconds TransmissionMargin{60};

Milliseconds onSlowClock(Milliseconds duration)
{
    return duration + duration * SlowClockPercent / 100;
}

} // namespace

Milliseconds sessionTimeoutFor(const WorkerLimits &limits, Milliseconds entryTimeout)
{
    return entryTimeout + onSlowClock(limits.maxLease) + limits.maxStopTime + TransmissionMargin;
}

void WorkerLease::observeClock(int64_t clockMs, MonotonicTime now)
{
    if (clockMs_ && clockMs < *clockMs_) {
        return;
    }
    clockMs_ = clockMs;
    clockObservedAt_ = now;
}

int64_t WorkerLease::observeAnnouncedClock(int64_t clockMs, MonotonicTime now)
{
    if (!clockMs_) {
        return 0;
    }
    const int64_t elapsed = millisecondsBetween(clockObservedAt_, now);
    const int64_t possible = std::min(clockMs, *clockMs_ + elapsed + elapsed * ClockDriftPerMille / 1000);
    observeClock(possible, now);
    return possible;
}

void WorkerLease::reset()
{
    clockMs_.reset();
    endMs_ = 0;
    hasUnansweredCalls_ = false;
}

int64_t WorkerLease::extend(MonotonicTime now)
{
    if (hasUnansweredCalls_ && endMs_ != 0) {
        return endMs_;
    }
    endMs_ = clockMs_.value_or(0) + millisecondsBetween(clockObservedAt_, now) + length_.count();
    extendedAt_ = now;
    return endMs_;
}

bool WorkerLease::isExpired(MonotonicTime now) const
{
    return now - extendedAt_ > onSlowClock(length_) + StopMargin;
}

} // namespace marjoramferry
