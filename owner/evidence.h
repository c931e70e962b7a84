#pragma once

#include "owner/agent_directory.h"
#include "version/cluster_state_tracker.h"

#include <messages_types.h>

#include <optional>

namespace marjoramferry {

/** Makes the freshness evidence to send to the agent; nothing unless the entry's own evidence is fresh. */
std::optional<wire::Evidence>
makeEvidence(const AgentView &agent, const ClusterStateTracker &clusterState, MonotonicTime now);

} // namespace marjoramferry
