#include "request/evidence.h"

namespace marjoramferry {

std::optional<wire::Evidence> evidenceFor(const AgentView &agent, const ClusterStateTracker &keeper, MonotonicTime now)
{
    const auto evidenceAt = keeper.freshness().evidenceAt();
    if (!evidenceAt || !keeper.isFresh(now)) {
        return std::nullopt;
    }
    wire::Evidence evidence;
    evidence.echoedSentAtUs = agent.lastSentAtUs;
    evidence.noteVersion = keeper.catalog().version;
    evidence.ageUs = std::chrono::duration_cast<Microseconds>(agent.lastReceivedAt - *evidenceAt).count();
    return evidence;
}

} // namespace marjoramferry
