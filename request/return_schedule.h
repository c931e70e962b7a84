#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>

namespace marjoramferry {

/**
 * Spreads the returns of rejected callers over the time in which there is capacity for them, for the load "all rejected
 * callers return at once".
 *
 * Each rejection reserves its work in a future period. Urgent jobs may fill a period further than others, and small
 * jobs use what large ones leave of it, so both return earlier.
 */
class ReturnSchedule
{
public:
    /** The delay after which a caller was told to return, and the period that its work is reserved in. */
    struct Return
    {
        Milliseconds delay{0};
        double reservedWork = 0; ///< Of all returns in the period.
    };

    /**
     * Reserves @p work in the first period with room for it.
     *
     * @p earliest is the time until waiting work is done, and @p rate the capacity for returning jobs, in work per
     * millisecond.
     */
    Return reserve(int priority, double work, Milliseconds earliest, double rate, MonotonicTime now);

private:
    std::map<int64_t, double> reservedWork_; ///< By period since the clock's epoch.
};

} // namespace marjoramferry
