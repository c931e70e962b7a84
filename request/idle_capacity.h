#pragma once

#include "core/time.h"

#include <deque>

namespace marjoramferry {

/**
 * The free capacity of a worker that no run has used for a while.
 *
 * Any run that takes capacity shows that there is demand for the rest too, so all of it counts as used until then.
 */
class IdleCapacity
{
public:
    explicit IdleCapacity(Milliseconds idleTime)
        : idleTime_(idleTime)
    {
    }

    /** Records the free capacity, in thousandths of a core, whenever it may have changed. */
    void record(int freeCpuMillis, MonotonicTime now);

    /** Returns the capacity that has been free for the idle time without a run that took some of it. */
    int at(MonotonicTime now) const;

private:
    struct Level
    {
        MonotonicTime since;
        int freeCpuMillis = 0;
    };

    const Milliseconds idleTime_;
    std::deque<Level> levels_; ///< Increasing since the last run that took capacity; at most one is past the idle time.
};

} // namespace marjoramferry
