#pragma once

#include "owner/agent_directory.h"

#include <random>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Selects the agent with the largest fraction of free slots; ties are broken at random with a seeded generator. */
struct LeastLoaded
{
    std::mt19937_64 random;
};

/** Baseline: selects agents with a free slot at random with a seeded generator. */
struct RandomPlacement
{
    std::mt19937_64 random;
};

/** Baseline: selects the agents in turn. */
struct RoundRobin
{
    size_t next = 0;
};

using PlacementPolicy = std::variant<LeastLoaded, RandomPlacement, RoundRobin>;

/** Creates the policy "least-loaded", "random" or "round-robin". Throws ErrorKind::Settings for other names. */
PlacementPolicy makePlacementPolicy(const std::string &name, uint64_t seed);

/** Selects one of @p candidates that fits @p needs and has a free slot, or null. */
const AgentView *
selectAgent(PlacementPolicy &placement, const std::vector<const AgentView *> &candidates, const wire::Needs &needs);

} // namespace marjoramferry
