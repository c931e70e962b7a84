#include "request/work_types.h"

#include <algorithm>

namespace marjoramferry {

Milliseconds criticalPathLength(const std::vector<WorkStep> &steps,
                                const std::function<Milliseconds(const WorkStep &)> &runTimeOf)
{
    std::vector<Milliseconds> ends(steps.size());
    Milliseconds longest{0};
    for (size_t i = 0; i < steps.size(); ++i) {
        Milliseconds start{0};
        for (const int dependency : steps[i].dependencies) {
            start = std::max(start, ends[static_cast<size_t>(dependency)]);
        }
        ends[i] = start + runTimeOf(steps[i]);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

const char *responseStatusName(ResponseStatus status)
{
    switch (status) {
    case ResponseStatus::Complete:
        return "complete";
    case ResponseStatus::Failed:
        return "failed";
    case ResponseStatus::Active:
        return "active";
    case ResponseStatus::Cancelled:
        return "cancelled";
    case ResponseStatus::Pending:
        return "pending";
    case ResponseStatus::Rejected:
        return "rejected";
    case ResponseStatus::NotReady:
        return "not_ready";
    case ResponseStatus::Unsupported:
        return "unsupported";
    case ResponseStatus::UnknownQueue:
        return "unknown_queue";
    case ResponseStatus::UnknownJob:
        return "unknown_job";
    case ResponseStatus::Malformed:
        return "malformed";
    case ResponseStatus::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

} // namespace marjoramferry
