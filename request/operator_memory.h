#pragma once

#include <messages_types.h>

#include <string>

namespace marjoramferry {

/** The newest word of the operators that this process has had, whoever brought it. It never goes back. */
class OperatorMemory
{
public:
    /** Takes @p state if it is newer in both its position and its configuration; returns whether it was. */
    bool take(const wire::OperatorState &state);

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

    bool isEvacuated(const std::string &domain) const;

private:
    wire::OperatorState state_;
};

} // namespace marjoramferry
