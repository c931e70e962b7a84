#include "request/worker_selector.h"

#include "request/worker_label.h"

#include <algorithm>
#include <numeric>

namespace marjoramferry {

namespace {

/**
 * Weight of the affinity between entry and worker, on the scale of run times relative to an average worker.
 * Each entry prefers other workers, so that entries with slightly stale views of the free capacity seldom select
 * the same one.
 */
constexpr double AffinityWeight = 0.4;
/**
 * Weight of the position in the group of isolated workers, on the same scale. The first ones are filled first, so that
 * the others can finish runs of other queues, and are left when the first ones crash.
 */
constexpr double GroupPositionWeight = 5;
/** Score advantage of an idle worker over a full one, on the same scale. */
constexpr double FreeCapacityWeight = 0.3;
/** Random bonus that breaks ties between workers of equal score. */
constexpr double TieBreakJitter = 0.02;
/** Bonus for a worker on which the task can start at once; exceeds all other score differences. */
constexpr double ImmediateStartBonus = 10;
/** Capacity is reserved only on workers that can run at least so many of the tasks at once. */
constexpr int MinTasksForReserve = 8;
/**
 * Runs of this entry that one worker may have at once. Tasks that demand nothing would otherwise be sent to an agent
 * without end, and it keeps each of them in memory.
 */
constexpr int MaxOpenRuns = 256;

} // namespace

WorkerSelector::WorkerSelector(WorkerSelectorOptions options,
                               WorkerDirectory &directory,
                               const RunTimeEstimator &runTimes,
                               const WorkerHealth &health,
                               const CrashContainment &containment)
    : options_(options)
    , directory_(directory)
    , runTimes_(runTimes)
    , health_(health)
    , containment_(containment)
    , random_(options.seed)
{
}

std::vector<WorkerSelector::Candidate> WorkerSelector::findCandidates(const WorkStep &step,
                                                                      const wire::Route &route,
                                                                      bool isLate,
                                                                      const OperatorStateCache &operatorState,
                                                                      MonotonicTime now) const
{
    std::vector<Candidate> candidates;
    const QueueIsolation *isolation = containment_.isolationOf(route.serviceName);
    for (WorkerView *each : directory_.activeViews()) {
        WorkerView &view = *each;
        const wire::WorkerState &state = view.state;
        const Demand overcommit = overcommitFor(view, step.demand, route, isLate, operatorState, now);
        if (!step.demand.fitsIn(view.available + overcommit) || !directory_.isUsable(view, now)
            || state.serviceName != route.serviceName || operatorState.isEvacuated(state.domain)
            || !hasLabel(state, step.requiredLabel)
            || (isolation != nullptr && !isolation->mayUse(route.name, view.agent))) {
            continue;
        }
        const double localityFactor = hasLabel(state, step.preferredLabel) ? 1.0 : options_.remoteSlowdown;
        const double baseScore = AffinityWeight * view.affinity - runTimes_.slowdown(state.worker) * localityFactor
            - GroupPositionWeight * (isolation == nullptr ? 0 : isolation->rankOf(route.name, view.agent));
        candidates.push_back(Candidate{&view, health_.status(state.worker, now), overcommit, baseScore});
    }
    return candidates;
}

void WorkerSelector::requestWorkers(const WorkStep &step,
                                    const wire::Route &route,
                                    const OperatorStateCache &operatorState,
                                    MonotonicTime now)
{
    const QueueIsolation *isolation = containment_.isolationOf(route.serviceName);
    directory_.activateStandby(
        [&](const WorkerView &view) {
            return view.state.serviceName == route.serviceName && step.demand.fitsIn(fromWire(view.state.capacity))
                && hasLabel(view.state, step.requiredLabel) && !operatorState.isEvacuated(view.state.domain)
                && (isolation == nullptr || isolation->mayUse(route.name, view.agent));
        },
        now);
}

Demand WorkerSelector::overcommitFor(const WorkerView &view,
                                     const Demand &demand,
                                     const wire::Route &route,
                                     bool isLate,
                                     const OperatorStateCache &operatorState,
                                     MonotonicTime now) const
{
    const int capacity = view.state.capacity.cpuMillis;
    if (isLate) {
        // The reserve must leave room for the task itself: one that needs nearly a whole worker could start nowhere
        // else.
        const int maxReserve = std::max(0, capacity - demand.cpuMillis);
        const int used = std::max(0, view.available.cpuMillis - view.idle.at(now));
        return Demand{-std::min({static_cast<int>(capacity * options_.lateReserve), maxReserve, used}), 0, 0};
    }
    if (operatorState.isHighestPriority(route)) {
        if (options_.offers && !isStartLikely(view, demand, now)) {
            return Demand{};
        }
        // At least one run may wait, also if tasks use a large part of a worker.
        return Demand{std::max(static_cast<int>(capacity * options_.priorityOvercommit), demand.cpuMillis), 0, 0};
    }
    // On a worker that runs only a few such tasks at once, the reserve would displace a whole task.
    const bool isReserved = operatorState.hasPriorityLevels() && capacity >= MinTasksForReserve * demand.cpuMillis;
    return Demand{isReserved ? -static_cast<int>(capacity * options_.priorityReserve) : 0, 0, 0};
}

std::optional<double> WorkerSelector::scoreOf(const Candidate &candidate, const Demand &available, const Demand &demand)
{
    const bool hasFreeCapacity = demand.fitsIn(available);
    const bool canTakeTask
        = candidate.status == HealthStatus::Healthy || (candidate.status == HealthStatus::Probing && hasFreeCapacity);
    const bool isOpenForRuns = candidate.view->openRuns < MaxOpenRuns;
    if (!canTakeTask || !isOpenForRuns || !demand.fitsIn(available + candidate.overcommit)) {
        return std::nullopt;
    }
    const double freeShare = static_cast<double>(available.cpuMillis)
        / std::max(1, static_cast<int>(candidate.view->state.capacity.cpuMillis));
    return (hasFreeCapacity ? ImmediateStartBonus : 0) + candidate.baseScore + FreeCapacityWeight * freeShare;
}

/** Whether a run that has to wait for capacity of the worker is likely to start before its order comes back. */
bool WorkerSelector::isStartLikely(const WorkerView &view, const Demand &demand, MonotonicTime now) const
{
    if (!directory_.overcommitBudget().allowsOrder()) {
        return false;
    }
    const auto &forecast = view.reported.forecast;
    const Milliseconds horizon = options_.queueTimeout + Milliseconds(millisecondsBetween(view.lastMessageAt, now));
    const auto releasedAfter = std::ranges::find_if(
        forecast, [&](const wire::CapacityStep &each) { return Milliseconds(each.inMs) > horizon; });
    const int released
        = std::accumulate(forecast.begin(), releasedAfter, 0, [](int sum, const wire::CapacityStep &each) {
              return sum + each.cpuMillis;
          });
    return forecast.empty() || demand.cpuMillis <= view.available.cpuMillis + released;
}

/** A worker on which the run would have to wait is selected only if it would have to wait on all of them. */
WorkerSelector::Candidate *WorkerSelector::selectWorker(std::vector<Candidate> &candidates,
                                                        const Demand &demand,
                                                        const std::vector<std::string> &excludedWorkers,
                                                        const std::string &onlyAgent)
{
    std::uniform_real_distribution<double> jitter(0, TieBreakJitter);
    Candidate *best = nullptr;
    double bestScore = 0;
    for (Candidate &each : candidates) {
        const WorkerView &view = *each.view;
        const std::optional<double> fixedScore = scoreOf(each, view.available, demand);
        if (!fixedScore || (!onlyAgent.empty() && view.agent != onlyAgent)
            || std::ranges::find(excludedWorkers, view.state.worker) != excludedWorkers.end()) {
            continue;
        }
        const double score = *fixedScore + jitter(random_);
        if (best == nullptr || score > bestScore) {
            best = &each;
            bestScore = score;
        }
    }
    return best;
}

} // namespace marjoramferry
