#include "request/placement_explainer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace marjoramferry {

namespace {

/** A candidate with the tasks that were placed on it so far. */
struct Slot
{
    WorkerSelector::Candidate candidate;
    Demand available;
    int tasks = 0;
};

/** Selects a worker for each task as WorkerSelector does; returns the number of tasks by agent. */
std::map<std::string, int> placeTasks(const WorkStep &step, const std::vector<WorkerSelector::Candidate> &candidates)
{
    std::vector<Slot> slots;
    std::ranges::transform(candidates, std::back_inserter(slots), [](const WorkerSelector::Candidate &each) {
        return Slot{each, each.view->available, 0};
    });
    const auto scoreOf
        = [&](const Slot &slot) { return WorkerSelector::scoreOf(slot.candidate, slot.available, step.demand); };
    for (int task = 0; task < step.count; ++task) {
        const auto best = std::ranges::max_element(slots, {}, scoreOf);
        if (best == slots.end() || !scoreOf(*best)) {
            break;
        }
        ++best->tasks;
        best->available = best->available - step.demand;
        if (best->candidate.status == HealthStatus::Probing) {
            best->candidate.status = HealthStatus::Ejected; // It gets one task at a time.
        }
    }
    std::map<std::string, int> placed;
    for (const Slot &slot : slots) {
        placed[slot.candidate.view->agent] = slot.tasks;
    }
    return placed;
}

} // namespace

PlacementExplainer::PlacementExplainer(const WorkerDirectory &directory,
                                       const RunTimeEstimator &runTimes,
                                       const WorkerHealth &health,
                                       const CrashContainment &containment)
    : directory_(directory)
    , runTimes_(runTimes)
    , health_(health)
    , containment_(containment)
{
}

std::vector<WorkerPlacement> PlacementExplainer::explain(const WorkStep &step,
                                                         const wire::Route &route,
                                                         const std::vector<WorkerSelector::Candidate> &candidates,
                                                         const OperatorStateCache &operatorState,
                                                         MonotonicTime now) const
{
    std::vector<WorkerPlacement> workers;
    for (const auto &[agent, view] : directory_.views()) {
        if (view.state.serviceName != route.serviceName) {
            continue;
        }
        WorkerPlacement placement = describe(view, now);
        const auto candidate = std::ranges::find(
            candidates, agent, [](const auto &each) -> const std::string & { return each.view->agent; });
        if (candidate != candidates.end()) {
            placement.score = WorkerSelector::scoreOf(*candidate, view.available, step.demand);
        }
        if (!placement.score) {
            placement.reasonAgainst = reasonAgainst(view, step, route, operatorState, now);
        }
        workers.push_back(std::move(placement));
    }
    const std::map<std::string, int> placed = placeTasks(step, candidates);
    for (WorkerPlacement &each : workers) {
        const auto found = placed.find(each.agent);
        each.selectedTasks = found == placed.end() ? 0 : found->second;
    }
    return workers;
}

WorkerPlacement PlacementExplainer::describe(const WorkerView &view, MonotonicTime now) const
{
    WorkerPlacement placement;
    placement.agent = view.agent;
    placement.worker = view.state.worker;
    placement.domain = view.state.domain;
    placement.available = view.available;
    placement.capacity = fromWire(view.state.capacity);
    placement.slowdown = runTimes_.slowdown(view.state.worker);
    placement.health = health_.status(view.state.worker, now);
    placement.stateAge = std::chrono::duration_cast<Milliseconds>(now - view.lastMessageAt);
    return placement;
}

/** The first reason for which the worker is no candidate, in the order in which an operator would act on them. */
std::string PlacementExplainer::reasonAgainst(const WorkerView &view,
                                              const WorkStep &step,
                                              const wire::Route &route,
                                              const OperatorStateCache &operatorState,
                                              MonotonicTime now) const
{
    if (operatorState.isEvacuated(view.state.domain)) {
        return "domain_evacuated";
    }
    if (view.isLeaving) {
        return "agent_leaving";
    }
    if (!step.demand.fitsIn(fromWire(view.state.capacity))) {
        return "too_small";
    }
    if (!view.isActive) {
        return "on_standby";
    }
    if (!directory_.isUsable(view, now)) {
        return "unusable";
    }
    const QueueIsolation *isolation = containment_.isolationOf(route.serviceName);
    if (isolation != nullptr && !isolation->mayUse(route.name, view.agent)) {
        return "other_side_of_isolation";
    }
    if (health_.status(view.state.worker, now) != HealthStatus::Healthy) {
        return "unhealthy";
    }
    if (!step.demand.fitsIn(view.available)) {
        return "no_free_capacity";
    }
    return containment_.isIsolated(route) ? "crash_risk" : "capacity_reserved";
}

} // namespace marjoramferry
