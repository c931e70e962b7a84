#include "request/idle_capacity.h"

#include <algorithm>

namespace marjoramferry {

void IdleCapacity::record(int freeCpuMillis, MonotonicTime now)
{
    if (!levels_.empty() && freeCpuMillis == levels_.back().freeCpuMillis) {
        return;
    }
    if (!levels_.empty() && freeCpuMillis < levels_.back().freeCpuMillis) {
        levels_.clear();
    }
    levels_.push_back(Level{now, freeCpuMillis});
    while (levels_.size() > 1 && now - levels_[1].since >= idleTime_) {
        levels_.pop_front();
    }
}

int IdleCapacity::at(MonotonicTime now) const
{
    const auto idle = std::ranges::find_if(
        levels_.rbegin(), levels_.rend(), [&](const Level &each) { return now - each.since >= idleTime_; });
    return idle == levels_.rend() ? 0 : std::max(0, idle->freeCpuMillis);
}

} // namespace marjoramferry
