#pragma once

#include "event/log_event.h"

#include <string>
#include <utility>
#include <vector>

namespace marjoramferry {

/** Collects the commands that the modules of a process issue. @p Command is a variant that holds LogEvent. */
template<typename Command>
class Outbox
{
public:
    template<typename Alternative>
    void add(Alternative command)
    {
        commands_.emplace_back(std::move(command));
    }

    void log(LogEvent::Level level, std::string event, std::vector<LogField> fields)
    {
        add(LogEvent{level, std::move(event), std::move(fields)});
    }

    std::vector<Command> take()
    {
        return std::exchange(commands_, {});
    }

private:
    std::vector<Command> commands_;
};

} // namespace marjoramferry
