#pragma once

#include "core/time.h"

#include <cmath>

namespace marjoramferry {

/** A number that decays exponentially. */
class DecayingCount
{
public:
    explicit DecayingCount(Milliseconds halfLife)
        : halfLife_(halfLife)
    {
    }

    double at(MonotonicTime now) const
    {
        const double halfLives
            = static_cast<double>(millisecondsBetween(setAt_, now)) / static_cast<double>(halfLife_.count());
        return value_ * std::exp2(-halfLives);
    }

    void set(double value, MonotonicTime now)
    {
        value_ = value;
        setAt_ = now;
    }

    void add(double amount, MonotonicTime now)
    {
        set(at(now) + amount, now);
    }

private:
    Milliseconds halfLife_;
    double value_ = 0;
    MonotonicTime setAt_;
};

} // namespace marjoramferry
