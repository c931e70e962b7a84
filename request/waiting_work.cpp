#include "request/waiting_work.h"

#include "request/worker_label.h"

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
    return worker.serviceName == step.service && hasLabel(worker, step.requiredLabel)
        && step.demand.fitsIn(fromWire(worker.capacity));
}

} // namespace marjoramferry
