#include "request/worker_selector.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/**
 * How much an entry's own liking of a worker counts, against run times relative to a middling worker.
 * Each entry likes other workers, so that entries whose view of the room is a little old seldom
 * choose the same one.
 */
constexpr double AffinityWeight = 0.4;
/** How much a worker that is all free counts more than a full one, on the same scale. */
constexpr double RoomWeight = 0.3;
/** Decides between workers that are as good as each other. */
constexpr double TieBreak = 0.02;
/** Above all other differences between workers. */
constexpr double FitsBonus = 10;
/** Tasks away from their data take so much longer, by the platform's terms. */
constexpr double RemoteSlowness = 1.5;
/** Tasks that a worker must hold at once for a part of it to be kept free. */
constexpr int LeastForReserve = 8;

bool hasLabel(const wire::WorkerState &worker, const std::string &label)
{
    return label.empty() || std::ranges::find(worker.labels, label) != worker.labels.end();
}

} // namespace

WorkerChoice::WorkerChoice(ChoiceOptions options,
                           WorkerDirectory &directory,
                           const RunTimeBook &book,
                           const WorkerHealth &health)
    : options_(options)
    , directory_(directory)
    , book_(book)
    , health_(health)
    , random_(options.seed)
{
}

std::vector<WorkerChoice::Candidate> WorkerChoice::find(
    const WorkStep &step, const wire::Route &route, bool isLate, const OperatorStateCache &operators, MonotonicTime now)
{
    std::vector<Candidate> candidates;
    for (auto &[agent, view] : directory_.views()) {
        const wire::WorkerState &state = view.state;
        const Demand spare = spareOn(state, step.demand, route, isLate, operators);
        if (!step.demand.fitsIn(view.room + spare) || !directory_.isUsable(view, now)
            || state.serviceName != route.serviceName || operators.isEvacuated(state.domain)
            || !hasLabel(state, step.requiredLabel)) {
            continue;
        }
        const double farness = hasLabel(state, step.preferredLabel) ? 1.0 : RemoteSlowness;
        const double liking = AffinityWeight * view.affinity - book_.slowness(state.worker) * farness;
        candidates.push_back(Candidate{&view, health_.trust(state.worker, now), spare, liking});
    }
    return candidates;
}

Demand WorkerChoice::spareOn(const wire::WorkerState &worker,
                             const Demand &demand,
                             const wire::Route &route,
                             bool isLate,
                             const OperatorStateCache &operators) const
{
    const int capacity = worker.capacity.cpuMillis;
    if (isLate) {
        // A task that needs nearly all of a worker could begin nowhere else.
        const int most = std::max(0, capacity - demand.cpuMillis);
        return Demand{-std::min(static_cast<int>(capacity * options_.lateReserve), most), 0, 0};
    }
    if (operators.isMostUrgent(route)) {
        return Demand{static_cast<int>(capacity * options_.urgentReach), 0, 0};
    }
    // On a worker that holds only a few such tasks the reserve would cost a whole one.
    const bool isKept = operators.hasUrgencies() && capacity >= LeastForReserve * demand.cpuMillis;
    return Demand{isKept ? -static_cast<int>(capacity * options_.reserve) : 0, 0, 0};
}

/** One that would make the run wait is chosen only if all would. */
WorkerChoice::Candidate *
WorkerChoice::choose(std::vector<Candidate> &candidates, const Demand &demand, const std::vector<std::string> &avoid)
{
    std::uniform_real_distribution<double> jitter(0, TieBreak);
    Candidate *best = nullptr;
    double bestScore = 0;
    for (Candidate &each : candidates) {
        const WorkerView &view = *each.view;
        const bool fits = demand.fitsIn(view.room);
        const bool isTrusted = each.trust == Trust::Full || (each.trust == Trust::Probe && fits);
        if (!isTrusted || !demand.fitsIn(view.room + each.spare)
            || std::ranges::find(avoid, view.state.worker) != avoid.end()) {
            continue;
        }
        const double roomShare
            = static_cast<double>(view.room.cpuMillis) / std::max(1, static_cast<int>(view.state.capacity.cpuMillis));
        const double score = (fits ? FitsBonus : 0) + each.liking + RoomWeight * roomShare + jitter(random_);
        if (best == nullptr || score > bestScore) {
            best = &each;
            bestScore = score;
        }
    }
    return best;
}

} // namespace marjoramferry
