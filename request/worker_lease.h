#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoramferry {

/** Default of the time without proof that an entry is alive after which its runs are stopped. */
inline constexpr Milliseconds DefaultEntryTimeout{700};

/** Until the end of a caller's connection has reached its entry. */
inline constexpr Milliseconds CallerEndMargin{150};

/** Limits of the deployment on runs and processes. */
struct WorkerLimits
{
    Milliseconds maxLease{1000}; ///< Workers shorten longer leases to this.
    Milliseconds maxStopTime{50}; ///< Within this time a worker stops a run.
    /** A caller without an answer sends its job again after this time, to any entry. */
    Milliseconds resubmissionDelay{1300};

    bool operator==(const WorkerLimits &) const = default;
};

/**
 * Silence of an agent after which none of an entry's runs can be left on its worker: the agent stops them within
 * @p entryTimeout. If it crashed or stalled, their lease expires after that, on a clock that may be slow, and the
 * worker stops them.
 */
Milliseconds sessionTimeoutFor(const WorkerLimits &limits, Milliseconds entryTimeout);

/**
 * Time after the last proof that an entry is alive at which the lease of its runs must have ended. The entry may have
 * lost its callers right after that proof, and no run may be left when they send their jobs to another entry, or when
 * the entry itself takes the runs of a silent agent for ended.
 */
Milliseconds leaseLimitFor(const WorkerLimits &limits);

/** The longest time that a worker can take for a lease, on a clock that may be slow. */
Milliseconds longestLeaseFor(const WorkerLimits &limits);

/** The longest time-out after which an entry's runs are stopped, so that they end before their lease is cut short. */
Milliseconds maxEntryTimeoutFor(const WorkerLimits &limits);

/** The longest lease that can be renewed in full while the last proof that an entry is alive is @p proofAge old. */
Milliseconds maxLeaseFor(const WorkerLimits &limits, Milliseconds proofAge);

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
     * Returns the lease end to request in a call sent at @p now. A lease extended by it ends by @p latest, however slow
     * the worker's clock is. The end does not advance while calls are unanswered: the worker may execute any of them
     * late, which must not extend the lease further.
     */
    int64_t extend(MonotonicTime now, MonotonicTime latest);

    /** Records that calls which the agent doesn't account for may have extended the lease up to @p end. */
    void assumeExtendedTo(MonotonicTime end)
    {
        latestEnd_ = std::max(latestEnd_, end);
    }

    /** When the lease ends at the latest, if the worker has received all calls. */
    MonotonicTime latestEnd() const
    {
        return latestEnd_;
    }

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
    MonotonicTime latestEnd_;
    int64_t endMs_ = 0;
    bool hasUnansweredCalls_ = false;
};

} // namespace marjoramferry
