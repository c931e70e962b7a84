#include "owner/unreachable_agents.h"

#include <algorithm>

namespace marjoramferry {

UnreachableAgents::UnreachableAgents(Milliseconds timeout)
    : timeout_(timeout)
{
}

void UnreachableAgents::add(const AgentIncarnation &agent, MonotonicTime now)
{
    entries_[agent.name] = Entry{agent.incarnation, now};
}

void UnreachableAgents::addIfAbsent(const AgentIncarnation &agent, MonotonicTime now)
{
    entries_.try_emplace(agent.name, Entry{agent.incarnation, now});
}

std::optional<AgentIncarnation> UnreachableAgents::remove(const std::string &name)
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    const AgentIncarnation agent{name, found->second.incarnation};
    entries_.erase(found);
    return agent;
}

std::optional<AgentIncarnation> UnreachableAgents::takeLost(MonotonicTime now)
{
    const auto found
        = std::ranges::find_if(entries_, [&](const auto &entry) { return now - entry.second.since >= timeout_; });
    return found == entries_.end() ? std::nullopt : remove(std::string(found->first));
}

} // namespace marjoramferry
