#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace marjoramferry {

/**
 * The lease under which runs are on a worker: how far it reaches on the worker's own clock, and when
 * it must have ended although nobody answers.
 */
class WorkerLease
{
public:
    explicit WorkerLease(Milliseconds length)
        : length_(length)
    {
    }

    /** Takes in what the worker's clock showed in a message that came in at @p now. */
    void noteClock(int64_t clockMs, MonotonicTime now);

    /** Forgets the clock: another life of the worker began. */
    void reset();

    /** Whether the worker's clock is known, so that leases can be asked for. */
    bool isReady() const
    {
        return clockMs_.has_value();
    }

    /**
     * The end to ask for in a call that goes out at @p now. While a call is unanswered the end stays
     * where it was, since each call may be carried out late and none may push the end further then.
     */
    int64_t extend(MonotonicTime now);

    void noteAnswer()
    {
        isDoubtful_ = false;
    }

    void noteSilence()
    {
        isDoubtful_ = true;
    }

    /** Whether calls go unanswered at present. */
    bool isDoubtful() const
    {
        return isDoubtful_;
    }

    /** Whether all that was on the worker has ended, also if its clock is slow. */
    bool hasLapsed(MonotonicTime now) const;

private:
    const Milliseconds length_;
    std::optional<int64_t> clockMs_; ///< What the worker's clock showed at clockSeenAt_.
    MonotonicTime clockSeenAt_;
    MonotonicTime extendedAt_;
    int64_t endMs_ = 0;
    bool isDoubtful_ = false;
};

} // namespace marjoramferry
