#pragma once

#include "request/agent_directory.h"
#include "version/version_keeper.h"

#include <messages_types.h>

#include <optional>

namespace marjoramferry {

/** Makes the freshness evidence to send to the agent; nothing unless the entry's own evidence is fresh. */
std::optional<wire::Evidence> makeEvidence(const AgentView &agent, const VersionKeeper &keeper, MonotonicTime now);

} // namespace marjoramferry
