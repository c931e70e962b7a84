#include "request/return_schedule.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr Milliseconds MinDelay{1000};
constexpr Milliseconds MaxDelay{10'000};
/** Retry-After has whole seconds. */
constexpr Milliseconds Period{1000};
/** Share of a period that each priority level leaves to more urgent jobs, and the lowest share that jobs may fill. */
constexpr double UrgentReserve = 0.2;
constexpr double MinFillShare = 0.4;

} // namespace

ReturnSchedule::Return
ReturnSchedule::reserve(int priority, double work, Milliseconds earliest, double rate, MonotonicTime now)
{
    const int64_t current = now.time_since_epoch() / Period;
    reservedWork_.erase(reservedWork_.begin(), reservedWork_.lower_bound(current));
    const double limit = std::max(MinFillShare, 1 - UrgentReserve * std::max(0, priority)) * rate
        * static_cast<double>(Period.count());
    const int64_t first = std::clamp(earliest, MinDelay, MaxDelay) / Period;
    const int64_t last = MaxDelay / Period;
    int64_t chosen = first;
    for (int64_t offset = first; offset <= last; ++offset) {
        const double reserved = reservedWork_[current + offset];
        if (reserved <= 0 || reserved + work <= limit) {
            chosen = offset;
            break;
        }
        // If no period has room, the returns are spread evenly.
        chosen = reserved < reservedWork_[current + chosen] ? offset : chosen;
    }
    double &reserved = reservedWork_[current + chosen];
    reserved += work;
    return Return{chosen * Period, reserved};
}

} // namespace marjoramferry
