#pragma once

#include "core/time.h"

#include <cstdint>
#include <string_view>

namespace marjoramferry {

/**
 * The delays between attempts of an operation that fails. They double up to a bound, and all but the first are
 * shortened by up to a quarter, so that the attempts of many processes don't coincide.
 */
class RetrySchedule
{
public:
    /** Schedules with different seeds are shortened differently; see retrySeed(). */
    RetrySchedule(Milliseconds first, Milliseconds longest, uint64_t seed)
        : first_(first)
        , longest_(longest)
        , seed_(seed)
    {
    }

    /** Returns the delay until the next attempt, after another one has failed. */
    Milliseconds nextDelay();

    /** Begins anew, after an attempt has succeeded. */
    void reset()
    {
        failures_ = 0;
    }

private:
    Milliseconds first_;
    Milliseconds longest_;
    uint64_t seed_;
    int failures_ = 0;
};

/** The seed of the schedules of something with this name, such as a process and the peer that it calls. */
uint64_t retrySeed(std::string_view name);

} // namespace marjoramferry
