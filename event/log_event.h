#pragma once

#include <string>
#include <vector>

namespace marjoramferry {

struct LogField
{
    std::string key;
    std::string value;
};

/** A structured log entry, written as one line of key=value pairs. */
struct LogEvent
{
    enum class Level { Info, Warning };

    Level level = Level::Info;
    std::string event;
    std::vector<LogField> fields;
};

/** A histogram sample, in seconds. */
struct Observation
{
    std::string metric;
    std::string tenant;
    std::string classLabel; ///< Value of the label "class": a service, an outcome or a reason.
    double seconds = 0;
};

} // namespace marjoramferry
