#include "owner/placement.h"

#include "core/error.h"

#include <algorithm>

namespace marjoramferry {

namespace {

using Candidates = std::vector<const AgentView *>;

const AgentView *chooseRandom(const Candidates &candidates, std::mt19937_64 &random)
{
    std::uniform_int_distribution<size_t> distribution(0, candidates.size() - 1);
    return candidates[distribution(random)];
}

double freeSlotRatio(const AgentView *view)
{
    return static_cast<double>(view->freeSlots()) / std::max(1, view->slots);
}

const AgentView *choose(LeastLoaded &policy, const Candidates &candidates)
{
    const double best = freeSlotRatio(*std::ranges::max_element(candidates, {}, freeSlotRatio));
    Candidates ties;
    std::ranges::copy_if(
        candidates, std::back_inserter(ties), [&](const AgentView *view) { return freeSlotRatio(view) >= best; });
    return chooseRandom(ties, policy.random);
}

const AgentView *choose(RandomPlacement &policy, const Candidates &candidates)
{
    return chooseRandom(candidates, policy.random);
}

const AgentView *choose(RoundRobin &policy, const Candidates &candidates)
{
    return candidates[policy.next++ % candidates.size()];
}

} // namespace

PlacementPolicy makePlacementPolicy(const std::string &name, uint64_t seed)
{
    if (name == "least-loaded") {
        return LeastLoaded{std::mt19937_64(seed)};
    }
    if (name == "random") {
        return RandomPlacement{std::mt19937_64(seed)};
    }
    if (name == "round-robin") {
        return RoundRobin{};
    }
    throw Error(ErrorKind::Settings,
                "[entry] placement",
                "\"" + name + "\" is not a placement policy",
                "use least-loaded, random or round-robin");
}

const AgentView *selectAgent(PlacementPolicy &placement, const Candidates &candidates, const wire::Needs &needs)
{
    Candidates fitting;
    std::ranges::copy_if(candidates, std::back_inserter(fitting), [&](const AgentView *view) {
        return view->freeSlots() > 0 && view->fits(needs);
    });
    if (fitting.empty()) {
        return nullptr;
    }
    return std::visit([&](auto &policy) { return choose(policy, fitting); }, placement);
}

} // namespace marjoramferry
