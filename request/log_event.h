#pragma once

#include <string>
#include <vector>

namespace marjoramferry {

struct LogField
{
    std::string key;
    std::string value;
};

/** One line for the log, as key=value pairs. */
struct LogEvent
{
    enum class Level { Info, Warning };

    Level level = Level::Info;
    std::string event;
    std::vector<LogField> fields;
};

/** One value for a histogram, in seconds. */
struct Observation
{
    std::string metric;
    std::string tenant;
    std::string classLabel; ///< The service, or the outcome.
    double seconds = 0;
};

} // namespace marjoramferry
