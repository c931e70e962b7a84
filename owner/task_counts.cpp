#include "owner/task_counts.h"

namespace marjoramferry {

TaskCounts TaskCountsByName::of(const std::string &name) const
{
    const auto found = counts_.find(name);
    return found == counts_.end() ? TaskCounts() : found->second;
}

void TaskCountsByName::add(const std::string &name, const TaskCounts &change)
{
    TaskCounts &counts = counts_[name];
    counts = TaskCounts{counts.queued + change.queued, counts.running + change.running};
    if (counts == TaskCounts()) {
        counts_.erase(name);
    }
}

} // namespace marjoramferry
