#pragma once

#include "core/time.h"
#include "request/work_types.h"

#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/**
 * The tasks that wait at an entry, of jobs that can still end in time, in order of their urgency.
 *
 * Addresses the load "many entries with scarce capacity": agents compare the most urgent tasks of all entries to decide
 * which entry to offer capacity.
 */
class WaitingWork
{
public:
    /** Less urgent steps are not added: free capacity that is offered at once never suffices for so many. */
    static constexpr size_t MaxSteps = 32;

    /** Adds tasks of a step that is less urgent than the ones before it. A lower @p sortKey is more urgent. */
    void add(const std::string &service, const WorkStep &step, int tasks, MonotonicTime sortKey);

    void clear()
    {
        steps_.clear();
    }

    bool isEmpty() const
    {
        return steps_.empty();
    }

    bool isFull() const
    {
        return steps_.size() >= MaxSteps;
    }

    /** What waits for this worker, as reported to its agent. */
    std::optional<wire::WaitingWork> forWorker(const wire::WorkerState &worker, MonotonicTime now) const;

private:
    struct Step
    {
        std::string service;
        std::string requiredLabel; ///< Empty if any worker of the service will do.
        Demand demand; ///< Of one task.
        int tasks = 0;
        MonotonicTime sortKey;
    };

    static bool canRun(const wire::WorkerState &worker, const Step &step);

    std::vector<Step> steps_;
};

} // namespace marjoramferry
