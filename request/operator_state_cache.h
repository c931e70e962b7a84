#pragma once

#include <messages_types.h>

#include <string>

namespace marjoramferry {

/** The newest word of the operators that this process has had, whoever brought it. It never goes back. */
class OperatorStateCache
{
public:
    /** Takes @p state if it is newer in both its position and its configuration; returns whether it was. */
    bool updateIfNewer(const wire::OperatorState &state);

    const wire::OperatorState &state() const
    {
        return state_;
    }

    bool hasConfiguration() const
    {
        return state_.configurationVersion > 0;
    }

    /** The route of the longest prefix that @p path begins with, or nullptr. */
    const wire::Route *find(const std::string &host, const std::string &path) const;

    /** Whether queues differ in priority. */
    bool hasUrgencies() const
    {
        return lowestPriority_ != highestPriority_;
    }

    /** Whether the queue's priority comes before that of others, and none before it. */
    bool isMostUrgent(const wire::Route &route) const
    {
        return hasUrgencies() && route.priority <= lowestPriority_;
    }

    bool isEvacuated(const std::string &domain) const;

private:
    wire::OperatorState state_;
    int lowestPriority_ = 0; ///< The number; it comes first.
    int highestPriority_ = 0;
};

} // namespace marjoramferry
