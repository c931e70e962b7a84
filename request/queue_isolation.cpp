#include "request/queue_isolation.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

namespace marjoramferry {

namespace {

constexpr Milliseconds UpdateInterval{100};
/** Longer than a crashed worker is down, since no worker crashes while all of the group are. */
constexpr Milliseconds CautionTime{5000};
/** The group is selected once the number of known workers has not changed for this long. */
constexpr Milliseconds SettlingTime{200};
/** Time constant of the averages of the load. */
constexpr double LoadTimeConstantMs = 2000;
/** Capacity that the other queues keep, and that the isolated ones get at least, as a multiple of their load. */
constexpr double CapacityMargin = 1.1;
/** Bound of the group, as a share of the workers' capacity. */
constexpr double MaxGroupShare = 0.5;
/** A worker that crashed is back after about this time. */
constexpr Milliseconds AssumedDowntime{3000};
/** Added to the counts of crashes and jobs, which say little at first. */
constexpr double AssumedCrashes = 1;
constexpr double AssumedJobs = 10;
constexpr XXH64_hash_t GroupSeed = 2;

XXH64_hash_t groupOrder(const std::string &agent)
{
    return XXH64(agent.data(), agent.size(), GroupSeed);
}

double capacityOf(const WorkerView &view)
{
    return static_cast<double>(view.state.capacity.cpuMillis);
}

} // namespace

QueueIsolation::QueueIsolation(std::string service)
    : service_(std::move(service))
{
}

void QueueIsolation::recordJob(const std::string &queue, double work, Milliseconds runTime, MonotonicTime now)
{
    suspicion_.recordJob(queue, work, runTime, now);
    warnings_.recordJob(queue, now);
    work_[queue] += work;
}

std::set<std::string> QueueIsolation::warnedQueues() const
{
    std::set<std::string> warned;
    std::ranges::set_difference(warnings_.queues(), suspicion_.suspects(), std::inserter(warned, warned.end()));
    return warned;
}

double QueueIsolation::rankOf(const std::string &queue, const std::string &agent) const
{
    if (group_.empty()) {
        return 0;
    }
    const auto found = positions_.find(agent);
    const bool isInGroup = found != positions_.end();
    if (!usesGroup(queue)) {
        return isInGroup ? 1 : 0;
    }
    return isInGroup ? static_cast<double>(found->second) / static_cast<double>(group_.size()) : 1;
}

void QueueIsolation::recordStartedJob(MonotonicTime now)
{
    startedJobs_.add(1, now);
}

/**
 * With a share p of jobs that crash their worker, a run time R and a downtime D, c jobs at a time complete at the rate
 * c (1 - pc) / (R + Dpc) on one worker. The rate is highest where D(pc)^2 + 2R(pc) = R.
 */
double QueueIsolation::maxJobsPerWorker(Milliseconds runTime, MonotonicTime now) const
{
    const double crashShare = (crashingJobs_.at(now) + AssumedCrashes) / (startedJobs_.at(now) + AssumedJobs);
    const double run = static_cast<double>(std::max<int64_t>(runTime.count(), 1));
    const double down = static_cast<double>(AssumedDowntime.count());
    return std::max(1.0, (std::sqrt(run * run + down * run) - run) / down / crashShare);
}

void QueueIsolation::recordCrash(const std::string &agent,
                                 const wire::WorkerCrash &crash,
                                 const std::function<bool(const std::string &jobId)> &isOwnJob,
                                 MonotonicTime now)
{
    const bool isInGroup = positions_.contains(agent);
    suspicion_.recordCrash(crash, isInGroup && !suspicion_.suspects().empty(), now);
    warnings_.recordCrash(crash, isInGroup, now);
    const wire::CrashedRun *last = nullptr;
    for (const wire::CrashedRun &run : crash.runs) {
        if (usesGroup(run.queue) && (last == nullptr || run.ageMs < last->ageMs)) {
            last = &run;
        }
    }
    if (last != nullptr) {
        lastCrashAt_ = std::max(lastCrashAt_, now - Milliseconds(crash.agoMs));
        crashingJobs_.add(isOwnJob(last->jobId) ? 1 : 0, now);
    }
    updatedAt_ = MonotonicTime();
}

bool QueueIsolation::isCautious(MonotonicTime now) const
{
    return now - lastCrashAt_ < CautionTime;
}

bool QueueIsolation::update(const WorkerDirectory &directory,
                            const OperatorStateCache &operatorState,
                            MonotonicTime now)
{
    if (now - updatedAt_ < UpdateInterval) {
        return false;
    }
    suspicion_.update(now);
    warnings_.update(now);
    measureLoad(directory, now);
    updatedAt_ = now;
    group_.clear();
    positions_.clear();
    if (knownWorkers_ != directory.views().size()) {
        knownWorkers_ = directory.views().size();
        knownSince_ = now;
    }
    // An entry that starts selects its group once it knows the workers.
    const bool isGroupNeeded = !suspicion_.suspects().empty() || !warnings_.queues().empty();
    if (isGroupNeeded && now - knownSince_ >= SettlingTime) {
        selectGroup(eligibleWorkers(directory, operatorState));
    }
    const std::set<std::string> warned = warnedQueues();
    const bool hasChanged = loggedIsolated_ != suspicion_.suspects() || loggedWarned_ != warned;
    loggedIsolated_ = suspicion_.suspects();
    loggedWarned_ = warned;
    return hasChanged;
}

QueueIsolation::Workers QueueIsolation::eligibleWorkers(const WorkerDirectory &directory,
                                                        const OperatorStateCache &operatorState) const
{
    Workers workers;
    for (const auto &[agent, view] : directory.views()) {
        if (view.state.serviceName == service_ && view.link != LocalLink && !view.isLeaving
            && !view.state.worker.empty() && !operatorState.isEvacuated(view.state.domain)) {
            workers.push_back(&view);
        }
    }
    return workers;
}

/** Measures the load of the active workers, which stand for all. */
void QueueIsolation::measureLoad(const WorkerDirectory &directory, MonotonicTime now)
{
    double capacity = 0;
    double used = 0;
    double usedByOthers = 0;
    const double othersShare = 1 - groupShareOfWork();
    for (const WorkerView *view : directory.activeViews()) {
        if (view->state.serviceName != service_) {
            continue;
        }
        capacity += capacityOf(*view);
        if (view->reported.takesRuns) {
            const double usedHere = capacityOf(*view) - static_cast<double>(view->reported.unclaimed.cpuMillis);
            used += usedHere;
            usedByOthers += group_.empty() ? usedHere * othersShare : (positions_.contains(view->agent) ? 0 : usedHere);
        }
    }
    const double elapsedMs = std::min(LoadTimeConstantMs, static_cast<double>(millisecondsBetween(measuredAt_, now)));
    measuredAt_ = now;
    if (capacity <= 0) {
        return;
    }
    const double weight = 1 - std::exp(-elapsedMs / LoadTimeConstantMs);
    othersLoad_ += (usedByOthers / capacity - othersLoad_) * weight;
    if (group_.empty()) {
        load_ += (used / capacity - load_) * weight;
        for (auto &[queue, work] : work_) {
            work *= 1 - weight;
        }
    }
}

double QueueIsolation::groupShareOfWork() const
{
    double all = 0;
    double grouped = 0;
    for (const auto &[queue, work] : work_) {
        all += work;
        grouped += usesGroup(queue) ? work : 0;
    }
    return all > 0 ? grouped / all : 0;
}

/** Adds workers to the group as long as the usable ones that are left can carry the other queues. */
void QueueIsolation::selectGroup(Workers workers)
{
    std::ranges::sort(
        workers, {}, [](const WorkerView *view) { return std::pair(groupOrder(view->agent), view->agent); });
    double capacity = 0;
    double usableRest = 0;
    for (const WorkerView *view : workers) {
        capacity += capacityOf(*view);
        usableRest += view->reported.takesRuns ? capacityOf(*view) : 0;
    }
    const double neededByOthers = CapacityMargin * othersLoad_ * capacity;
    const double neededByGroup = CapacityMargin * load_ * groupShareOfWork() * capacity;
    double groupCapacity = 0;
    for (const WorkerView *view : workers) {
        const double afterwards = groupCapacity + capacityOf(*view);
        usableRest -= view->reported.takesRuns ? capacityOf(*view) : 0;
        const bool isNeeded = groupCapacity < neededByGroup || groupCapacity <= 0;
        if (afterwards > MaxGroupShare * capacity || (usableRest < neededByOthers && !isNeeded)) {
            return;
        }
        groupCapacity = afterwards;
        positions_[view->agent] = group_.size();
        group_.push_back(view->agent);
    }
}

} // namespace marjoramferry
