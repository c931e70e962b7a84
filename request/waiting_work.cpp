#include "request/waiting_work.h"

#include <algorithm>

namespace marjoramferry {

void WaitingWork::add(const std::string &service, const WorkStep &step, int tasks, MonotonicTime sortKey)
{
    if (tasks > 0 && !isFull()) {
        steps_.push_back(Step{service, step.requiredLabel, step.demand, tasks, sortKey});
    }
}

std::optional<wire::WaitingWork> WaitingWork::forWorker(const wire::WorkerState &worker, MonotonicTime now) const
{
    std::optional<wire::WaitingWork> result;
    for (const Step &step : steps_) {
        if (!canRun(worker, step)) {
            continue;
        }
        if (!result) {
            result.emplace();
            result->rank = std::chrono::duration_cast<Milliseconds>(step.sortKey - now).count();
            result->demand = toWire(step.demand);
        }
        result->tasks += step.tasks;
    }
    return result;
}

bool WaitingWork::canRun(const wire::WorkerState &worker, const Step &step)
{
    const bool hasLabel
        = step.requiredLabel.empty() || std::ranges::find(worker.labels, step.requiredLabel) != worker.labels.end();
    return worker.serviceName == step.service && hasLabel && step.demand.fitsIn(fromWire(worker.capacity));
}

} // namespace marjoramferry
