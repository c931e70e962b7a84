#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace marjoramferry {

/** One start of an agent's process. */
struct AgentIncarnation
{
    std::string name;
    std::string incarnation;

    bool operator==(const AgentIncarnation &) const = default;
};

/** Failure detector: declares an agent lost that has been unreachable for the timeout. */
class UnreachableAgents
{
public:
    explicit UnreachableAgents(Milliseconds timeout);

    /** Starts the timeout of an agent that became unreachable, again if it was unreachable before. */
    void add(const AgentIncarnation &agent, MonotonicTime now);

    /** Starts the timeout unless the agent is known to be unreachable. */
    void addIfAbsent(const AgentIncarnation &agent, MonotonicTime now);

    /** Ends the timeout of an agent; returns the incarnation that was unreachable, if there was one. */
    std::optional<AgentIncarnation> remove(const std::string &name);

    /** Removes and returns one agent that is lost by now. */
    std::optional<AgentIncarnation> takeLost(MonotonicTime now);

private:
    struct Entry
    {
        std::string incarnation;
        MonotonicTime since;
    };

    const Milliseconds timeout_;
    std::map<std::string, Entry> entries_; ///< By agent name.
};

} // namespace marjoramferry
