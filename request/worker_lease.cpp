#include "request/worker_lease.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/** A worker's clock may be 2% slow (platform bound); doubled to cover the error of this process's clock. */
constexpr int SlowClockPercent = 4;
/** Error of this process's clock in comparison with a caller's. */
constexpr int ProcessClockPercent = 2;
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

/** The longest duration that takes at most @p duration on a slow clock. */
Milliseconds fromSlowClock(Milliseconds duration)
{
    return duration * 100 / (100 + SlowClockPercent);
}

} // namespace

Milliseconds sessionTimeoutFor(const WorkerLimits &limits, Milliseconds entryTimeout)
{
    return entryTimeout + onSlowClock(limits.maxLease) + limits.maxStopTime + TransmissionMargin;
}

Milliseconds leaseLimitFor(const WorkerLimits &limits)
{
    const Milliseconds end
        = std::min(limits.resubmissionDelay - CallerEndMargin, sessionTimeoutFor(limits, DefaultEntryTimeout));
    return (end - limits.maxStopTime) * 100 / (100 + ProcessClockPercent);
}

Milliseconds longestLeaseFor(const WorkerLimits &limits)
{
    return onSlowClock(limits.maxLease);
}

Milliseconds maxEntryTimeoutFor(const WorkerLimits &limits)
{
    return leaseLimitFor(limits) - limits.maxStopTime - StopMargin;
}

Milliseconds maxLeaseFor(const WorkerLimits &limits, Milliseconds proofAge)
{
    return std::min(limits.maxLease, fromSlowClock(leaseLimitFor(limits) - proofAge));
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

int64_t WorkerLease::extend(MonotonicTime now, MonotonicTime latest)
{
    if (hasUnansweredCalls_ && endMs_ != 0) {
        return endMs_;
    }
    // The worker's clock may have been slow since it was observed.
    const Milliseconds wanted = Milliseconds(millisecondsBetween(clockObservedAt_, now)) + length_;
    const Milliseconds allowed = fromSlowClock(std::chrono::duration_cast<Milliseconds>(latest - clockObservedAt_));
    const Milliseconds remaining = std::min(wanted, allowed);
    const int64_t end = clockMs_.value_or(0) + remaining.count();
    if (end > endMs_) {
        endMs_ = end;
        assumeExtendedTo(clockObservedAt_ + onSlowClock(remaining));
    }
    return endMs_;
}

bool WorkerLease::isExpired(MonotonicTime now) const
{
    return now > latestEnd_ + StopMargin;
}

} // namespace marjoramferry
