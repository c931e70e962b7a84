#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace marjoramferry {

/** Limits of the deployment on runs and processes. */
struct WorkerLimits
{
    Milliseconds maxLease{1000}; ///< Workers shorten longer leases to this.
    Milliseconds maxStopTime{50}; ///< Within this time a worker stops a run.

    bool operator==(const WorkerLimits &) const = default;
};

/**
 * Silence of an agent after which none of an entry's runs can be left on its worker: the agent stops them within
 * @p entryTimeout. If it crashed or stalled, their lease expires after that, on a clock that may be slow, and the
 * worker stops them.
 */
Milliseconds sessionTimeoutFor(const WorkerLimits &limits, Milliseconds entryTimeout);

/**
 * The agent's view of the lease of a worker's runs: computes the lease end on the worker's clock, and
 * decides when the lease must have expired although the worker does not answer.
 */
class WorkerLease
{
public:
    explicit WorkerLease(Milliseconds length)
        : length_(length)
    {
    }

    /** Records the worker's clock, as reported in a message received at @p now. Older values are ignored. */
    void observeClock(int64_t clockMs, MonotonicTime now);

    /**
     * Records the clock of an announcement, which another writer may have sent: it is used up to the time that the
     * clock of the last reply can show by now. Returns that much of it.
     */
    int64_t observeAnnouncedClock(int64_t clockMs, MonotonicTime now);

    /** Discards the clock and the lease end after the worker restarted or was replaced. */
    void reset();

    /** Whether the worker's clock is known, which is required to request a lease. */
    bool isClockKnown() const
    {
        return clockMs_.has_value();
    }

    /**
     * Returns the lease end to request in a call sent at @p now. The end does not advance while calls are
     * unanswered: the worker may execute any of them late, which must not extend the lease further.
     */
    int64_t extend(MonotonicTime now);

    void recordReply()
    {
        hasUnansweredCalls_ = false;
    }

    void recordMissingReply()
    {
        hasUnansweredCalls_ = true;
    }

    /** Whether a call went unanswered since the last reply. */
    bool hasUnansweredCalls() const
    {
        return hasUnansweredCalls_;
    }

    /** Whether all runs under the lease have ended, even if the worker's clock is slow. */
    bool isExpired(MonotonicTime now) const;

private:
    const Milliseconds length_;
    std::optional<int64_t> clockMs_; ///< Worker's clock at clockObservedAt_.
    MonotonicTime clockObservedAt_;
    MonotonicTime extendedAt_;
    int64_t endMs_ = 0;
    bool hasUnansweredCalls_ = false;
};

} // namespace marjoramferry
