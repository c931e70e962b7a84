#include "request/work_scheduler.h"

#include "request/placement_explainer.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr Milliseconds MinRetryAfter{1000};
constexpr Milliseconds MaxRetryAfter{10'000};

} // namespace

/**
 * Predicts how the job would end behind the jobs that precede it. Without admission control, a job expected to be late
 * is queued behind all jobs that can be in time; one expected to start only after its rejectAt is refused at once.
 */
bool WorkScheduler::admitJob(Job &job, JobAdmission &admission, MonotonicTime now) const
{
    const auto workAhead = [&](JobProspect prospect) {
        return workAheadOf(QueuePosition{prospect, job.sortKey, job.id});
    };
    if (options_.admission) {
        job.prospect = admission.classify(job.needs, workAhead, now);
        return job.prospect != JobProspect::Hopeless;
    }
    if (queue_.empty() || !drainRate_.isKnown()) {
        return true;
    }
    const auto expectedWait = [&] { return drainRate_.timeFor(workAheadOf(queuePositionOf(job, now))); };
    const bool isExpectedLate = now + expectedWait() > job.latestStartAt;
    job.prospect = isExpectedLate ? JobProspect::Late : JobProspect::InTime;
    return !isExpectedLate || now + expectedWait() <= job.rejectAt;
}

double WorkScheduler::workAheadOf(const QueuePosition &position) const
{
    double workAhead = 0;
    for (auto each = queue_.begin(); each != queue_.end() && *each < position; ++each) {
        workAhead += jobs_.at(each->jobId).remainingWork;
    }
    return workAhead;
}

/** Adapts the capacity estimate to workers that became unusable. */
void WorkScheduler::followCapacity(const OperatorStateCache &operatorState, MonotonicTime now)
{
    double usable = 0;
    for (const WorkerView *view : directory_.activeViews()) {
        const bool isUsable = directory_.isUsable(*view, now) && !operatorState.isEvacuated(view->state.domain);
        usable += isUsable ? view->state.capacity.cpuMillis : 0;
    }
    admission_.shares().followCapacity(usable);
}

PlacementExplanation WorkScheduler::explain(const SubmitWork &call,
                                            const wire::Route &route,
                                            const OperatorStateCache &operatorState,
                                            MonotonicTime now) const
{
    Job job = makeJob(call, route, "", now);
    JobAdmission admission = admission_; // The explanation must not count as an arrival.
    const bool isAdmitted = admitJob(job, admission, now);
    const QueuePosition position = queuePositionOf(job, now);
    PlacementExplanation result;
    result.expectedRunTime = expectedJobRunTime(call.job, route);
    result.expectedWait = drainRate_.isKnown() ? drainRate_.timeFor(workAheadOf(position)) : Milliseconds(0);
    result.isExpectedLate = position.isLate();
    result.waitingJobs = queue_.size();
    result.isIsolated = containment_.isIsolated(route);
    if (containment_.isWithoutHope(route, job.latestStartAt, now)) {
        result.rejection = "isolated_workers_down";
    } else if (!isAdmitted) {
        result.rejection = "overload";
    }
    const Step &step = job.steps.front();
    std::vector<WorkerSelector::Candidate> candidates
        = selector_.findCandidates(step.definition, route, position.isLate(), operatorState, now);
    if (result.isIsolated) {
        std::erase_if(candidates, [&](const auto &each) { return !isWorthRisk(job, step, *each.view, now); });
    }
    result.workers = PlacementExplainer(directory_, runTimes_, health_, containment_)
                         .explain(step.definition, route, candidates, operatorState, now);
    return result;
}

/** Rejects the jobs without a started task that can't be answered in time behind the jobs that precede them. */
void WorkScheduler::rejectHopelessJobs(MonotonicTime now)
{
    if (!options_.admission) {
        return;
    }
    std::vector<std::string> hopeless;
    double workAhead = 0;
    for (const QueuePosition &position : queue_) {
        const Job &job = jobs_.at(position.jobId);
        if (!job.hasStarted && admission_.isHopeless(job.needs, position.prospect, workAhead, now)) {
            hopeless.push_back(job.id);
            continue;
        }
        workAhead += job.remainingWork;
    }
    std::ranges::for_each(hopeless,
                          [&](const std::string &id) { finishJob(id, ResponseStatus::Rejected, "overload", now); });
}

/** Counts the work of a returned task as waiting again instead of dispatched. */
void WorkScheduler::countReturnedWork(Job &job, const Run &run, MonotonicTime now)
{
    if (options_.admission) {
        const double work = workOfTask(job.steps[static_cast<size_t>(run.step)]);
        job.remainingWork += work;
        admission_.shares().recordDispatched(job.route.name, -work, now);
    }
}

Milliseconds WorkScheduler::retryAfterDelay(const Job &job, MonotonicTime now)
{
    const double waitingWork = workAheadOf(QueuePosition{JobProspect::Hopeless, MonotonicTime::max(), ""});
    if (options_.admission) {
        return admission_.reserveReturn(job.needs, waitingWork, now);
    }
    double capacity = 1;
    for (const auto &[agent, view] : directory_.views()) {
        capacity += view.state.capacity.cpuMillis;
    }
    const Milliseconds wait(static_cast<int64_t>(waitingWork / capacity));
    return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

} // namespace marjoramferry
