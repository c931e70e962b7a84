#include "owner/job_owner.h"

#include "core/shard.h"
#include "owner/job_answer.h"
#include "owner/start_adoption.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

namespace marjoramferry {

namespace {

constexpr int StatusUnavailable = 503;

} // namespace

JobOwner::JobOwner(OwnerTiming timing,
                   const ClusterStateTracker &clusterState,
                   AgentDirectory &directory,
                   PlacementPolicy placement)
    : timing_(timing)
    , clusterState_(clusterState)
    , directory_(directory)
    , answers_(timing.answerRetention, timing.maxAnswerBytes)
    , quotas_(clusterState.catalog(), clusterState.ownership(), clusterState.localOwner())
    , dispatcher_(clusterState, directory, placement, quotas_)
    , submissions_(clusterState.freshness(), clusterState.catalog(), quotas_, directory, runTimes_)
    , claims_(timing.claims)
    , shards_(timing.recoveryTimeout)
    , unreachable_(timing.lostAgentTimeout)
    , reconciler_(directory, unreachable_)
{
}

// --- Shards ---------------------------------------------------------------------------------

void JobOwner::onOwnershipChanged(MonotonicTime now, EntryOutbox &out)
{
    const std::string &self = clusterState_.localOwner().incarnation;
    const bool isOwner = clusterState_.ownership().owners().contains(self);
    if (isOwner && clusterState_.localFenceVersion() != 0 && clusterState_.joinSentAt()) {
        claims_.open(self, clusterState_.localFenceVersion(), *clusterState_.joinSentAt());
    }
    const auto owner = claims_.isOpen() ? std::optional(self) : std::nullopt;
    for (const int shard : shards_.update(clusterState_.ownership(), clusterState_.ownershipVersion(), owner, now)) {
        dropJobs(shard, out);
    }
}

void JobOwner::submitDeferred(MonotonicTime now, EntryOutbox &out)
{
    std::vector<DeferredRequest> deferred = std::exchange(deferred_, {});
    for (DeferredRequest &request : deferred) {
        if (shards_.isRecovering(shardOf(request.message.job.jobId)) && now < request.deadline) {
            deferred_.push_back(std::move(request));
            continue;
        }
        request.message.remainingMs = millisecondsBetween(now, request.deadline);
        onSubmit(request.link, request.message, now, out);
    }
}

void JobOwner::dropJobs(int shard, EntryOutbox &out)
{
    for (const JobRunPtr &run : jobs_.jobsOf(shard)) {
        if (run->phase != JobPhase::Ended) {
            out.log(LogEvent::Level::Warning, "job_moved", {{"job", run->job.jobId}, {"tenant", run->job.tenant}});
        }
        if (run->phase == JobPhase::Running) {
            dispatcher_.withdraw(*run);
        }
        std::ranges::for_each(run->tasks, [&](const TaskRun &task) {
            if (task.occupiesSlot()) {
                dispatcher_.countFinished(*run);
            }
        });
        for (const Waiter &waiter : run->waiters) {
            replies_.addKind(waiter, run->job.jobId, wire::AnswerKind::MOVED);
        }
        run->phase = JobPhase::Ended;
        jobs_.erase(run->job.jobId);
    }
    // Expiry removes jobs by id, so a retained run would later remove a newer run of the same job.
    answers_.removeShard(shard);
}

void JobOwner::dropAllShards(EntryOutbox &out)
{
    std::ranges::for_each(shards_.clear(), [&](int shard) { dropJobs(shard, out); });
    for (const DeferredRequest &request : std::exchange(deferred_, {})) {
        replies_.addKind(
            Waiter{request.link, request.message.requestId}, request.message.job.jobId, wire::AnswerKind::MOVED);
    }
}

void JobOwner::beginDraining(const std::vector<int> &shards)
{
    shards_.beginDraining(shards, clusterState_.ownershipVersion());
}

std::vector<int> JobOwner::idleDrainingShards() const
{
    return shards_.idleDrainingShards(jobs_.busyShards());
}

// --- Submission -----------------------------------------------------------------------------

void JobOwner::onSubmit(LinkId link, const wire::SubmitJob &message, MonotonicTime now, EntryOutbox &out)
{
    const Waiter waiter{link, message.requestId};
    const std::string &jobId = message.job.jobId;
    const int shard = shardOf(jobId);
    if (!shards_.contains(shard)) {
        replies_.addKind(waiter, jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    if (const JobRunPtr known = jobs_.find(jobId)) {
        submitExisting(known, message, waiter);
        return;
    }
    if (shards_.isDraining(shard)) {
        replies_.addKind(waiter, jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    if (shards_.isRecovering(shard)) {
        deferred_.push_back(DeferredRequest{link, message, now + Milliseconds(message.remainingMs)});
        return;
    }
    submitNew(message, waiter, now, out);
}

void JobOwner::submitExisting(const JobRunPtr &run, const wire::SubmitJob &message, const Waiter &waiter)
{
    if (run->job.fingerprint != message.job.fingerprint) {
        replies_.add(waiter, makeConflictAnswer(message.job));
        return;
    }
    if (run->phase == JobPhase::Ended) {
        replies_.add(waiter, run->outputsDropped ? makeOutputDroppedAnswer(message.job) : run->answer);
        return;
    }
    // A request may arrive again after a broken connection.
    std::erase_if(run->waiters,
                  [&](const Waiter &each) { return each.link == waiter.link && each.requestId == waiter.requestId; });
    run->waiters.push_back(waiter);
}

void JobOwner::submitNew(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now, EntryOutbox &out)
{
    const RecoveredJob *recovered = shards_.findRecovered(message.job.jobId);
    if (recovered == nullptr) {
        if (auto refusal = submissions_.check(message, dispatcher_, now)) {
            if (!claims_.hasLease(now)) {
                markNotRunAsUnknown(*refusal);
            }
            replies_.add(waiter, *refusal);
            return;
        }
        claim(*createRun(message, waiter, now), false);
        return;
    }
    if (recovered->fingerprint != message.job.fingerprint && recovered->fingerprint != 0) {
        replies_.add(waiter, makeConflictAnswer(message.job));
        return;
    }
    resume(createRun(message, waiter, now), *recovered, now, out);
}

JobRunPtr JobOwner::createRun(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now)
{
    return jobs_.create(message, waiter, shards_.epochOf(shardOf(message.job.jobId)), now);
}

void JobOwner::resume(const JobRunPtr &run, const RecoveredJob &recovered, MonotonicTime now, EntryOutbox &out)
{
    for (int running = adoptStarts(*run, recovered); running > 0; --running) {
        dispatcher_.countAdopted(*run);
    }
    if (run->unfinished == 0) {
        complete(run, now, out);
        return;
    }
    const bool hasFailed = run->hasTaskIn(TaskPhase::Uncertain) || run->hasTaskIn(TaskPhase::Failed);
    if (recovered.ended || hasFailed) {
        fail(run, "owner_lost", "the job's owner was lost and the state of some tasks cannot be recovered", now, out);
        return;
    }
    reconciler_.requestStates(*run, TaskPhase::Running, dispatcher_.sequence(), now, out);
    claim(*run, false);
}

void JobOwner::claim(const JobRun &run, bool ended)
{
    claims_.add(Claim{run.job.jobId, run.job.fingerprint, run.shard, ended});
}

void JobOwner::onClaimed(const ClaimsCommitted &committed, MonotonicTime now, EntryOutbox &out)
{
    for (const Claim &claimed : committed.claims) {
        const JobRunPtr run = jobs_.find(claimed.jobId);
        if (run == nullptr) {
            continue;
        }
        if (claimed.ended && run->phase == JobPhase::Recording) {
            finishFailed(run, true, now, out);
        } else if (!claimed.ended && run->phase == JobPhase::Claiming) {
            beginRunning(run, now, out);
        }
    }
}

void JobOwner::beginRunning(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    run->phase = JobPhase::Running;
    dispatcher_.enqueue(run);
    // Adopted tasks may have ended before the claim was committed.
    if (run->unfinished == 0) {
        complete(run, now, out);
    } else if (run->hasTaskIn(TaskPhase::Failed) || run->hasTaskIn(TaskPhase::Uncertain)) {
        fail(run, "owner_lost", "the job's owner was lost and the state of some tasks cannot be recovered", now, out);
    }
}

void JobOwner::onLookup(LinkId link, const wire::LookupJob &message, MonotonicTime now, EntryOutbox &out)
{
    const Waiter waiter{link, message.requestId};
    const int shard = shardOf(message.jobId);
    if (!shards_.contains(shard)) {
        replies_.addKind(waiter, message.jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    const JobRunPtr run = jobs_.find(message.jobId);
    if (run == nullptr) {
        const bool isClaimed = shards_.isRecovering(shard) || shards_.findRecovered(message.jobId) != nullptr;
        replies_.add(waiter, makeAbsentAnswer(message.jobId, isClaimed));
        return;
    }
    if (message.cancel && (run->phase == JobPhase::Claiming || run->phase == JobPhase::Running)) {
        fail(run, "cancelled", "the caller cancelled the job", now, out);
    }
    if (run->phase == JobPhase::Ended) {
        replies_.add(waiter, run->outputsDropped ? makeOutputDroppedAnswer(run->job) : run->answer);
    } else if (message.cancel) {
        run->waiters.push_back(waiter);
    } else {
        replies_.addKind(waiter, message.jobId, wire::AnswerKind::RUNNING);
    }
}

// --- Tasks ----------------------------------------------------------------------------------

void JobOwner::onTaskReport(const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out)
{
    directory_.recordReport(report, now);
    const JobRunPtr run = jobs_.find(report.jobId);
    const int index = run == nullptr ? -1 : run->indexOf(report.taskId);
    if (index < 0) {
        return;
    }
    TaskRun &task = run->tasks[static_cast<size_t>(index)];
    if (!task.occupiesSlot() || task.agent != report.agent) {
        return;
    }
    if (report.state == wire::StartState::RUNNING) {
        task.phase = TaskPhase::Running;
    } else if (report.state == wire::StartState::REFUSED) {
        out.add(Observation{"refused", run->job.tenant, wire::to_string(report.refusal), 0});
        onTaskRefused(run, index);
    } else {
        onTaskEnded(run, index, report, now, out);
    }
    if (run->phase == JobPhase::Resolving) {
        advanceResolving(run, now, out);
    }
}

void JobOwner::onTaskRefused(const JobRunPtr &run, int index)
{
    dispatcher_.countFinished(*run);
    run->tasks[static_cast<size_t>(index)].phase = TaskPhase::Waiting;
    ++run->waiting;
    if (run->phase == JobPhase::Running) {
        dispatcher_.requeue(run, index);
    }
}

void JobOwner::onTaskEnded(
    const JobRunPtr &run, int index, const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out)
{
    dispatcher_.countFinished(*run);
    runTimes_.addSample(run->job.serviceName, report.runMs);
    TaskRun &task = run->tasks[static_cast<size_t>(index)];
    if (report.state == wire::StartState::SUCCEEDED) {
        task.phase = TaskPhase::Succeeded;
        task.output = report.output;
        task.outputDropped = report.outputDropped;
        --run->unfinished;
        if (run->unfinished == 0 && run->phase == JobPhase::Running) {
            complete(run, now, out);
        }
        return;
    }
    const bool hasFailed = report.state == wire::StartState::FAILED;
    task.phase = hasFailed ? TaskPhase::Failed : TaskPhase::Uncertain;
    if (run->phase == JobPhase::Running) {
        const char *kind = hasFailed ? "task_failed" : "task_uncertain";
        fail(run, kind, absl::StrCat("task ", report.taskId, " on ", report.agent, ": ", report.output), now, out);
    }
}

void JobOwner::onAgentUnreachable(const AgentView &agent, MonotonicTime now)
{
    unreachable_.add(AgentIncarnation{agent.name, agent.incarnation}, now);
}

void JobOwner::onAgentReconnected(const AgentView &agent, MonotonicTime now, EntryOutbox &out)
{
    const auto unreachable = unreachable_.remove(agent.name);
    if (!unreachable) {
        return;
    }
    if (unreachable->incarnation != agent.incarnation) {
        declareAgentLost(*unreachable, now, out);
        return;
    }
    for (const JobRunPtr &run : jobs_.all() | std::views::values) {
        TaskReconciler::requestStatesFrom(agent, *run, dispatcher_.sequence(), out);
    }
}

void JobOwner::declareAgentLost(const AgentIncarnation &agent, MonotonicTime now, EntryOutbox &out)
{
    std::vector<JobRunPtr> affected;
    for (const JobRunPtr &run : jobs_.all() | std::views::values) {
        bool isAffected = false;
        for (TaskRun &task : run->tasks) {
            if (task.occupiesSlot() && AgentIncarnation{task.agent, task.incarnation} == agent) {
                task.phase = TaskPhase::Uncertain;
                dispatcher_.countFinished(*run);
                isAffected = true;
            }
        }
        if (isAffected) {
            affected.push_back(run);
        }
    }
    for (const JobRunPtr &run : affected) {
        if (run->phase == JobPhase::Running) {
            fail(run, "worker_lost", "agent " + agent.name + " was lost while it ran tasks of the job", now, out);
        } else if (run->phase == JobPhase::Resolving) {
            advanceResolving(run, now, out);
        }
    }
}

// --- Completion and failure -----------------------------------------------------------------

void JobOwner::complete(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    if (std::ranges::any_of(run->tasks, &TaskRun::outputDropped)) {
        run->answer = makeOutputDroppedAnswer(run->job);
    } else {
        run->answer = makeCompleteAnswer(*run);
    }
    finish(run, now, out);
    answers_.add(run);
}

void JobOwner::fail(
    const JobRunPtr &run, const char *kind, const std::string &message, MonotonicTime now, EntryOutbox &out)
{
    if (run->phase == JobPhase::Running) {
        dispatcher_.withdraw(*run);
    }
    run->phase = JobPhase::Resolving;
    run->phaseDeadline = now + timing_.resolveTimeout;
    run->answer = makeFailureAnswer(run->job.jobId, kind, message);
    reconciler_.requestStates(*run, TaskPhase::Sent, dispatcher_.sequence(), now, out);
    advanceResolving(run, now, out);
}

void JobOwner::advanceResolving(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    if (run->hasTaskIn(TaskPhase::Sent) && now < run->phaseDeadline) {
        return;
    }
    run->answer.tasks = makeTaskResults(*run);
    const bool isCancelled = run->answer.errorKind == "cancelled";
    const bool hasUnstarted = run->hasTaskIn(TaskPhase::Waiting);
    if (!hasUnstarted || (run->hasNoStartedTask() && !isCancelled)) {
        finishFailed(run, true, now, out);
        return;
    }
    // The answer "not run" must also hold under a later owner, so the failure is committed before the reply.
    run->phase = JobPhase::Recording;
    run->phaseDeadline = now + timing_.recordTimeout;
    claim(*run, true);
}

void JobOwner::finishFailed(const JobRunPtr &run, bool recorded, MonotonicTime now, EntryOutbox &out)
{
    if (!recorded || !claims_.hasLease(now)) {
        markNotRunAsUnknown(run->answer);
    }
    const bool isRefusal = run->hasNoStartedTask() && run->answer.errorKind != "cancelled";
    if (isRefusal) {
        run->answer.httpStatus = StatusUnavailable;
    }
    finish(run, now, out);
    if (isRefusal) {
        // No task ran, so the caller may submit the same job again.
        jobs_.erase(run->job.jobId);
    } else {
        answers_.add(run);
    }
}

void JobOwner::finish(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    jobs_.end(*run, now);
    for (const Waiter &waiter : run->waiters) {
        replies_.add(waiter, run->answer);
    }
    out.log(LogEvent::Level::Info,
            "job_ended",
            {{"job", run->job.jobId},
             {"tenant", run->job.tenant},
             {"tasks", absl::StrCat(run->tasks.size())},
             {"error", run->answer.errorKind},
             {"ms", absl::StrCat(millisecondsBetween(run->submittedAt, now))}});
}

void JobOwner::failOverdueJobs(MonotonicTime now, EntryOutbox &out)
{
    for (const JobRunPtr &run : jobs_.overdueJobs(now, timing_.deadlineMargin)) {
        if (run->phase == JobPhase::Resolving) {
            advanceResolving(run, now, out);
        } else if (run->phase == JobPhase::Recording) {
            finishFailed(run, false, now, out);
        } else {
            fail(run, "deadline_exceeded", "the deadline passed; submit a new job with a later deadline", now, out);
        }
    }
}

// --- Timers and table results ---------------------------------------------------------------

void JobOwner::onStartRecords(const wire::StartRecords &records)
{
    shards_.onStartRecords(records);
}

void JobOwner::onTableResult(
    TableCaller caller, int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out)
{
    if (caller == TableCaller::Recovery) {
        shards_.onTableResult(callId, result, out);
        return;
    }
    const ClaimOutcome outcome = claims_.onTableResult(callId, result, now, out);
    if (const auto *committed = std::get_if<ClaimsCommitted>(&outcome)) {
        onClaimed(*committed, now, out);
    } else if (std::holds_alternative<ClaimLogFenced>(outcome)) {
        dropAllShards(out);
    }
}

void JobOwner::onTick(MonotonicTime now, EntryOutbox &out)
{
    while (const auto lost = unreachable_.takeLost(now)) {
        declareAgentLost(*lost, now, out);
    }
    failOverdueJobs(now, out);
    std::ranges::for_each(answers_.expire(now), [&](const std::string &jobId) { jobs_.erase(jobId); });
    shards_.advanceRecoveries(directory_, now, out);
    submitDeferred(now, out);
}

void JobOwner::advance(MonotonicTime now, EntryOutbox &out)
{
    if (clusterState_.isFresh(now)) {
        dispatcher_.dispatch(now, out);
    }
    claims_.advance(now, out);
}

} // namespace marjoramferry
