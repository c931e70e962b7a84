#pragma once

#include <compare>
#include <map>
#include <string>

namespace marjoramferry {

/** Number of tasks of a tenant or a service at this owner. */
struct TaskCounts
{
    int queued = 0;
    int running = 0; ///< Tasks in phase Sent or Running.

    auto operator<=>(const TaskCounts &) const = default;
};

/** The tasks of each tenant or service. A name without tasks takes no memory: callers choose the names of tenants. */
class TaskCountsByName
{
public:
    TaskCounts of(const std::string &name) const;

    /** Adds the differences, which may be negative. */
    void add(const std::string &name, const TaskCounts &change);

    bool isEmpty() const
    {
        return counts_.empty();
    }

private:
    std::map<std::string, TaskCounts> counts_;
};

} // namespace marjoramferry
