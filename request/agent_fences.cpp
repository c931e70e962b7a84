#include "request/agent_fences.h"

#include <algorithm>
#include <utility>

namespace marjoramferry {

FenceReport AgentFences::record(const std::string &incarnation, int64_t fence)
{
    if (fence > MaxReportedFence) {
        return std::exchange(lastRefused_, fence) == fence ? FenceReport::RefusedAgain : FenceReport::Refused;
    }
    if (incarnation == highestIncarnation_) {
        highest_ = std::max(highest_, fence);
    } else if (fence > highest_) {
        secondHighest_ = std::exchange(highest_, fence);
        highestIncarnation_ = incarnation;
    } else {
        secondHighest_ = std::max(secondHighest_, fence);
    }
    return FenceReport::Recorded;
}

int64_t AgentFences::highestOfOthers(const std::string &incarnation) const
{
    return incarnation == highestIncarnation_ ? secondHighest_ : highest_;
}

} // namespace marjoramferry
