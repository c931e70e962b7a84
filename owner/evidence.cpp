#include "owner/evidence.h"

namespace marjoramferry {

std::optional<wire::Evidence>
makeEvidence(const AgentView &agent, const ClusterStateTracker &clusterState, MonotonicTime now)
{
    const auto evidenceAt = clusterState.freshness().evidenceAt();
    if (!evidenceAt || !clusterState.isFresh(now)) {
        return std::nullopt;
    }
    wire::Evidence evidence;
    evidence.echoedSentAtUs = agent.lastSentAtUs;
    evidence.noteVersion = clusterState.catalog().version;
    evidence.ageUs = std::chrono::duration_cast<Microseconds>(agent.lastReceivedAt - *evidenceAt).count();
    return evidence;
}

} // namespace marjoramferry
