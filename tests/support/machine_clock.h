#pragma once

#include "core/time.h"

#include <random>

namespace marjoramferry::testing {

/** A machine's monotonic clock, which differs from the simulation's time by an offset and an error of its rate. */
class MachineClock
{
public:
    MachineClock() = default;
    MachineClock(Milliseconds offset, double rateError)
        : offset_(offset)
        , rateError_(rateError)
    {
    }

    /** A clock that is ahead by up to @p maxOffset and fast or slow by up to @p maxRateError. */
    static MachineClock draw(Milliseconds maxOffset, double maxRateError, std::mt19937_64 &random)
    {
        const Milliseconds offset(std::uniform_int_distribution<int64_t>(0, maxOffset.count())(random));
        return {offset, std::uniform_real_distribution<double>(-1, 1)(random) * maxRateError};
    }

    MonotonicTime read(MonotonicTime now) const
    {
        const std::chrono::duration<double, MonotonicTime::period> error = now.time_since_epoch() * rateError_;
        return now + offset_ + std::chrono::duration_cast<MonotonicTime::duration>(error);
    }

    bool operator==(const MachineClock &) const = default;

private:
    Milliseconds offset_{0};
    double rateError_ = 0;
};

} // namespace marjoramferry::testing
