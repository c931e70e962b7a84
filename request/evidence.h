#pragma once

#include "request/agent_directory.h"
#include "version/cluster_state_tracker.h"

#include <messages_types.h>

#include <optional>

namespace marjoramferry {

/** The evidence that an entry can pass to the agent; nothing when it holds no fresh evidence itself. */
std::optional<wire::Evidence> evidenceFor(const AgentView &agent, const ClusterStateTracker &keeper, MonotonicTime now);

} // namespace marjoramferry
