#pragma once

#include <messages_types.h>

#include <string>

namespace marjoramferry {

/** The newest operator state that this process has received from any source. Older states never replace it. */
class OperatorStateCache
{
public:
    /**
     * Replaces the state by @p state if its position is newer and its configuration version isn't older. Returns
     * whether it did.
     */
    bool updateIfNewer(const wire::OperatorState &state);

    const wire::OperatorState &state() const
    {
        return state_;
    }

    bool hasConfiguration() const
    {
        return state_.configurationVersion > 0;
    }

    /** Returns the route of @p host with the longest path prefix that matches @p path, or nullptr. */
    const wire::Route *findRoute(const std::string &host, const std::string &path) const;

    /** Whether the queues differ in priority. */
    bool hasPriorityLevels() const
    {
        return minPriority_ != maxPriority_;
    }

    /** Whether queues differ in priority and no queue precedes that of @p route. */
    bool isHighestPriority(const wire::Route &route) const
    {
        return hasPriorityLevels() && route.priority <= minPriority_;
    }

    bool isEvacuated(const std::string &domain) const;

private:
    wire::OperatorState state_;
    int minPriority_ = 0; ///< The lowest number is the highest priority.
    int maxPriority_ = 0;
};

} // namespace marjoramferry
