#include "request/work_types.h"

#include <algorithm>
#include <numeric>

namespace marjoramferry {

namespace {

/** A task with its run and the order for it, without the job's spec. */
constexpr size_t TaskBytes = 384;
constexpr size_t StepBytes = 384;
/** The parsed job and the scheduler's copy of it. */
constexpr size_t Copies = 2;

size_t estimateMemoryBytes(const WorkStep &step, const std::string &spec)
{
    const size_t texts = step.requiredLabel.size() + step.preferredLabel.size();
    const size_t definition = StepBytes + texts + step.dependencies.size() * sizeof(int);
    return Copies * definition + static_cast<size_t>(step.count) * (TaskBytes + spec.size());
}

} // namespace

size_t estimateMemoryBytes(const WorkJob &job)
{
    return std::accumulate(job.steps.begin(),
                           job.steps.end(),
                           Copies * job.spec.size(),
                           [&](size_t sum, const WorkStep &each) { return sum + estimateMemoryBytes(each, job.spec); });
}

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
