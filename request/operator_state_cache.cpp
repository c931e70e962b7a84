#include "request/operator_state_cache.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace marjoramferry {

bool OperatorStateCache::updateIfNewer(const wire::OperatorState &state)
{
    if (state.position <= state_.position) {
        return false;
    }
    if (state.configurationVersion < state_.configurationVersion) {
        return false;
    }
    state_ = state;
    const auto [lowest, highest] = std::ranges::minmax_element(state_.routes, {}, &wire::Route::priority);
    minPriority_ = state_.routes.empty() ? 0 : lowest->priority;
    maxPriority_ = state_.routes.empty() ? 0 : highest->priority;
    return true;
}

const wire::Route *OperatorStateCache::findRoute(const std::string &host, const std::string &path) const
{
    const wire::Route *best = nullptr;
    for (const wire::Route &route : state_.routes) {
        const bool isMatch = absl::EqualsIgnoreCase(route.host, host) && absl::StartsWith(path, route.pathPrefix);
        if (isMatch && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

bool OperatorStateCache::isEvacuated(const std::string &domain) const
{
    return std::ranges::find(state_.evacuatedDomains, domain) != state_.evacuatedDomains.end();
}

} // namespace marjoramferry
