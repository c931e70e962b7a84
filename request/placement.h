#pragma once

#include "request/agent_directory.h"

#include <random>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Places on the agent with the largest share of free slots; ties are broken by a seeded draw. */
struct LeastLoaded
{
    std::mt19937_64 random;
};

/** Baseline: any agent with a free slot, by a seeded draw. */
struct RandomPlacement
{
    std::mt19937_64 random;
};

/** Baseline: the agents in turn. */
struct RoundRobin
{
    size_t next = 0;
};

using Placement = std::variant<LeastLoaded, RandomPlacement, RoundRobin>;

/** The policy with this name: "least-loaded", "random" or "round-robin". Throws Settings for another one. */
Placement makePlacementPolicy(const std::string &name, uint64_t seed);

/** One of @p candidates that fits the needs and has a free slot left, or null. */
const AgentView *
place(Placement &placement, const std::vector<const AgentView *> &candidates, const wire::Needs &needs);

} // namespace marjoramferry
