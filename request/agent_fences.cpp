#include "request/agent_fences.h"

#include <algorithm>
#include <utility>

namespace marjoramferry {

FenceVerdict FenceCheck::check(int64_t fence)
{
    if (fence <= MaxReportedFence) {
        return FenceVerdict::Plausible;
    }
    return std::exchange(lastRefused_, fence) == fence ? FenceVerdict::RefusedAgain : FenceVerdict::Refused;
}

FenceVerdict AgentFences::record(const std::string &incarnation, int64_t fence)
{
    if (const FenceVerdict verdict = check_.check(fence); verdict != FenceVerdict::Plausible) {
        return verdict;
    }
    if (incarnation == highestIncarnation_) {
        highest_ = std::max(highest_, fence);
    } else if (fence > highest_) {
        secondHighest_ = std::exchange(highest_, fence);
        highestIncarnation_ = incarnation;
    } else {
        secondHighest_ = std::max(secondHighest_, fence);
    }
    return FenceVerdict::Plausible;
}

int64_t AgentFences::highestOfOthers(const std::string &incarnation) const
{
    return incarnation == highestIncarnation_ ? secondHighest_ : highest_;
}

} // namespace marjoramferry
