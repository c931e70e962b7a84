#include "core/retry_schedule.h"

#include <xxhash.h>

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int MaxDoublings = 10;
constexpr uint64_t MaxShorteningPercent = 25;

} // namespace

Milliseconds RetrySchedule::nextDelay()
{
    const Milliseconds full = std::min(first_ * (1 << std::min(failures_, MaxDoublings)), longest_);
    if (failures_++ == 0) {
        return full;
    }
    const uint64_t hash = XXH64(&failures_, sizeof(failures_), seed_);
    const auto shortening = static_cast<int64_t>(hash % (MaxShorteningPercent + 1));
    return full * (100 - shortening) / 100;
}

uint64_t retrySeed(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

} // namespace marjoramferry
