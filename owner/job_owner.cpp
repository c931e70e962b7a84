#include "owner/job_owner.h"

#include "core/shard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr int FailedRetryAfterMs = 1000;

wire::Ran::type ranStateOf(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Waiting:
        return wire::Ran::NO;
    case TaskPhase::Running:
    case TaskPhase::Succeeded:
    case TaskPhase::Failed:
        return wire::Ran::YES;
    default:
        return wire::Ran::UNKNOWN;
    }
}

bool hasNoStartedTask(const JobRun &run)
{
    return std::ranges::all_of(run.tasks, [](const TaskRun &task) { return task.phase == TaskPhase::Waiting; });
}

void markNotRunAsUnknown(wire::JobAnswer &answer)
{
    for (wire::TaskResult &task : answer.tasks) {
        task.ran = task.ran == wire::Ran::NO ? wire::Ran::UNKNOWN : task.ran;
    }
}

} // namespace

JobOwner::JobOwner(OwnerTiming timing,
                   const ClusterStateTracker &clusterState,
                   AgentDirectory &directory,
                   PlacementPolicy placement)
    : timing_(timing)
    , clusterState_(clusterState)
    , directory_(directory)
    , answers_(timing.answerRetention, timing.maxAnswerBytes)
    , dispatcher_(clusterState, directory, placement, *this)
{
}

// --- Shards ---------------------------------------------------------------------------------

void JobOwner::onOwnershipChanged(MonotonicTime now, EntryOutbox &out)
{
    openClaimLog();
    const std::string &self = clusterState_.localOwner().incarnation;
    std::vector<int> gained;
    for (int index = 0; index < ShardCount; ++index) {
        const ShardOwnership &shard = clusterState_.ownership().shard(index);
        const auto owned = shards_.find(index);
        const bool isOwnedHere = shard.owner == self && claims_.has_value();
        if (owned != shards_.end() && (!isOwnedHere || owned->second.epoch != shard.epoch)) {
            dropShard(index, out);
        }
        if (isOwnedHere && !shards_.contains(index)) {
            shards_[index] = ShardState{shard.epoch, 0, std::nullopt};
            gained.push_back(index);
        } else if (isOwnedHere && owned->second.drainingSince < clusterState_.ownershipVersion()) {
            // The ownership map changed without moving this shard, so its pending hand-over can't take effect any more.
            owned->second.drainingSince.reset();
        }
    }
    startRecoveries(gained, now);
}

void JobOwner::openClaimLog()
{
    const std::string &self = clusterState_.localOwner().incarnation;
    const bool isOwner = clusterState_.ownership().owners().contains(self);
    if (!isOwner || incarnation_ == self || clusterState_.localFenceVersion() == 0 || !clusterState_.joinSentAt()) {
        return;
    }
    incarnation_ = self;
    ++claimGeneration_;
    claims_.emplace(self, clusterState_.localFenceVersion(), *clusterState_.joinSentAt(), timing_.claims);
}

void JobOwner::startRecoveries(const std::vector<int> &gained, MonotonicTime now)
{
    if (gained.empty()) {
        return;
    }
    std::vector<wire::ShardEpoch> epochs;
    std::set<std::string> predecessors;
    for (const int index : gained) {
        const ShardOwnership &shard = clusterState_.ownership().shard(index);
        wire::ShardEpoch epoch;
        epoch.shard = index;
        epoch.epoch = shard.epoch;
        epochs.push_back(epoch);
        for (const Predecessor &each : shard.predecessors) {
            predecessors.insert(each.incarnation);
        }
        shards_.at(index).recoveryId = lastRecoveryId_ + 1;
    }
    ++lastRecoveryId_;
    recoveries_.try_emplace(
        lastRecoveryId_, lastRecoveryId_, std::move(epochs), predecessors, now, timing_.recoveryTimeout);
}

void JobOwner::finishRecoveries(MonotonicTime now, EntryOutbox &out)
{
    for (auto entry = recoveries_.begin(); entry != recoveries_.end();) {
        entry->second.advance(directory_, now, out);
        if (!entry->second.isDone(now)) {
            ++entry;
            continue;
        }
        RecoveredShards result = entry->second.result();
        out.log(LogEvent::Level::Info,
                "shards_recovered",
                {{"shards", absl::StrCat(result.shards.size())}, {"jobs", absl::StrCat(result.jobs.size())}});
        for (const int index : result.shards) {
            const auto shard = shards_.find(index);
            if (shard != shards_.end() && shard->second.recoveryId == entry->first) {
                shard->second.recoveryId = 0;
            }
        }
        for (auto &[jobId, job] : result.jobs) {
            recovered_[shardOf(jobId)][jobId] = std::move(job);
        }
        entry = recoveries_.erase(entry);
    }
    std::vector<DeferredRequest> deferred = std::exchange(deferred_, {});
    for (DeferredRequest &request : deferred) {
        const auto shard = shards_.find(shardOf(request.message.job.jobId));
        if (shard != shards_.end() && shard->second.recoveryId != 0 && now < request.deadline) {
            deferred_.push_back(std::move(request));
            continue;
        }
        request.message.remainingMs = millisecondsBetween(now, request.deadline);
        onSubmit(request.link, request.message, now, out);
    }
}

void JobOwner::dropShard(int shard, EntryOutbox &out)
{
    shards_.erase(shard);
    recovered_.erase(shard);
    std::vector<JobRunPtr> dropped;
    for (const JobRunPtr &run : jobs_ | std::views::values) {
        if (run->shard == shard) {
            dropped.push_back(run);
        }
    }
    for (const JobRunPtr &run : dropped) {
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
            replyWithKind(waiter, run->job.jobId, wire::AnswerKind::MOVED);
        }
        run->phase = JobPhase::Ended;
        active_.erase(run->job.jobId);
        jobs_.erase(run->job.jobId);
    }
    // Expiry removes jobs by id, so a retained run would later remove a newer run of the same job.
    answers_.removeShard(shard);
}

void JobOwner::dropAllShards(EntryOutbox &out)
{
    while (!shards_.empty()) {
        dropShard(shards_.begin()->first, out);
    }
    recoveries_.clear();
    claims_.reset();
    for (const DeferredRequest &request : std::exchange(deferred_, {})) {
        replyWithKind(
            Waiter{request.link, request.message.requestId}, request.message.job.jobId, wire::AnswerKind::MOVED);
    }
}

void JobOwner::beginDraining(const std::vector<int> &shards)
{
    for (const int index : shards) {
        if (const auto found = shards_.find(index); found != shards_.end() && !found->second.drainingSince) {
            found->second.drainingSince = clusterState_.ownershipVersion();
        }
    }
}

std::vector<int> JobOwner::idleDrainingShards() const
{
    std::set<int> busy;
    for (const JobRunPtr &run : active_ | std::views::values) {
        busy.insert(run->shard);
    }
    std::vector<int> idle;
    for (const auto &[index, state] : shards_) {
        if (state.drainingSince && state.recoveryId == 0 && !busy.contains(index)) {
            idle.push_back(index);
        }
    }
    return idle;
}

size_t JobOwner::recoveringShards() const
{
    return static_cast<size_t>(
        std::ranges::count_if(shards_, [](const auto &entry) { return entry.second.recoveryId != 0; }));
}

bool JobOwner::consumeFencedFlag()
{
    return std::exchange(fenced_, false);
}

// --- Quotas ---------------------------------------------------------------------------------

int JobOwner::ownShareOf(int limit) const
{
    const auto &owners = clusterState_.ownership().owners();
    const auto self = owners.find(clusterState_.localOwner().incarnation);
    const int index = static_cast<int>(std::distance(owners.begin(), self));
    return self == owners.end() ? 0 : shareOfLimit(limit, index, static_cast<int>(owners.size()));
}

int JobOwner::runningLimit(const std::string &tenant) const
{
    const auto limits = clusterState_.catalog().tenants.find(tenant);
    return limits == clusterState_.catalog().tenants.end() ? 0 : ownShareOf(limits->second.maxRunning);
}

// --- Submission -----------------------------------------------------------------------------

void JobOwner::onSubmit(LinkId link, const wire::SubmitJob &message, MonotonicTime now, EntryOutbox &out)
{
    const Waiter waiter{link, message.requestId};
    const std::string &jobId = message.job.jobId;
    const auto shard = shards_.find(shardOf(jobId));
    if (shard == shards_.end()) {
        replyWithKind(waiter, jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    if (const auto known = jobs_.find(jobId); known != jobs_.end()) {
        submitExisting(known->second, message, waiter);
        return;
    }
    if (shard->second.drainingSince) {
        replyWithKind(waiter, jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    if (shard->second.recoveryId != 0) {
        deferred_.push_back(DeferredRequest{link, message, now + Milliseconds(message.remainingMs)});
        return;
    }
    submitNew(message, waiter, now, out);
}

void JobOwner::submitExisting(const JobRunPtr &run, const wire::SubmitJob &message, const Waiter &waiter)
{
    if (run->job.fingerprint != message.job.fingerprint) {
        wire::JobAnswer answer = makeNotRunAnswer(message.job,
                                                  StatusConflict,
                                                  "other_body",
                                                  "job_id: already used by a job with another body; use a new job_id",
                                                  0);
        // The other body may use the same task ids, so the answer must not state whether they ran.
        answer.tasks.clear();
        reply(waiter, answer);
        return;
    }
    if (run->phase == JobPhase::Ended) {
        reply(waiter, run->outputsDropped ? makeOutputDroppedAnswer(message.job) : run->answer);
        return;
    }
    // A request may arrive again after a broken connection.
    std::erase_if(run->waiters,
                  [&](const Waiter &each) { return each.link == waiter.link && each.requestId == waiter.requestId; });
    run->waiters.push_back(waiter);
}

std::optional<wire::JobAnswer> JobOwner::validateSubmission(const wire::SubmitJob &message, MonotonicTime now)
{
    if (!clusterState_.isFresh(now)) {
        return makeNotRunAnswer(message.job,
                                StatusUnavailable,
                                "not_fresh",
                                "the entry cannot read the version in force; retry later",
                                FailedRetryAfterMs);
    }
    if (message.remainingMs <= 0) {
        return makeNotRunAnswer(
            message.job, StatusUnavailable, "too_late", "the deadline passed before the job was admitted", 1);
    }
    const auto limits = clusterState_.catalog().tenants.find(message.job.tenant);
    AdmissionLoad load;
    load.tenantQueued = dispatcher_.tenantCounts(message.job.tenant).queued;
    load.serviceQueued = dispatcher_.serviceCounts(message.job.serviceName).queued;
    if (limits != clusterState_.catalog().tenants.end()) {
        load.tenantRunningLimit = ownShareOf(limits->second.maxRunning);
        load.tenantQueueLimit = ownShareOf(limits->second.maxQueued);
    }
    return checkAdmission(
        message.job, Milliseconds(message.remainingMs), load, clusterState_.catalog(), directory_, runTimes_);
}

void JobOwner::submitNew(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now, EntryOutbox &out)
{
    const auto &recovered = recovered_[shardOf(message.job.jobId)];
    const auto known = recovered.find(message.job.jobId);
    if (known == recovered.end()) {
        if (auto refusal = validateSubmission(message, now)) {
            if (!claims_->hasLease(now)) {
                markNotRunAsUnknown(*refusal);
            }
            reply(waiter, *refusal);
            return;
        }
        claim(*createRun(message, waiter, now), false);
        return;
    }
    if (known->second.fingerprint != message.job.fingerprint && known->second.fingerprint != 0) {
        JobRun other;
        other.job.fingerprint = known->second.fingerprint;
        submitExisting(std::make_shared<JobRun>(std::move(other)), message, waiter);
        return;
    }
    adoptStarts(createRun(message, waiter, now), known->second, now, out);
}

JobRunPtr JobOwner::createRun(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now)
{
    auto run = std::make_shared<JobRun>();
    run->job = message.job;
    run->shard = shardOf(message.job.jobId);
    run->epoch = shards_.at(run->shard).epoch;
    run->tasks.resize(message.job.tasks.size());
    run->waiters.push_back(waiter);
    run->submittedAt = now;
    run->deadline = now + Milliseconds(message.remainingMs);
    run->unfinished = static_cast<int>(run->tasks.size());
    run->waiting = run->unfinished;
    jobs_[run->job.jobId] = run;
    active_[run->job.jobId] = run;
    return run;
}

void JobOwner::adoptStarts(const JobRunPtr &run, const RecoveredJob &recovered, MonotonicTime now, EntryOutbox &out)
{
    for (size_t index = 0; index < run->tasks.size(); ++index) {
        const auto start = recovered.starts.find(run->job.tasks[index].taskId);
        if (start != recovered.starts.end()) {
            adoptStart(run, index, start->second);
        } else if (!recovered.hasAllRecords) {
            run->tasks[index].phase = TaskPhase::Uncertain;
            --run->waiting;
        }
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
    requestTaskStates(*run, TaskPhase::Running, now, out);
    claim(*run, false);
}

void JobOwner::adoptStart(const JobRunPtr &run, size_t index, const RecoveredStart &start)
{
    TaskRun &task = run->tasks[index];
    task.agent = start.agent;
    task.incarnation = start.incarnation;
    --run->waiting;
    switch (start.record.state) {
    case wire::StartState::RUNNING:
        task.phase = TaskPhase::Running;
        dispatcher_.countAdopted(*run);
        return;
    case wire::StartState::SUCCEEDED:
        task.phase = TaskPhase::Succeeded;
        task.output = start.record.output;
        task.outputDropped = start.record.outputDropped;
        --run->unfinished;
        return;
    case wire::StartState::FAILED:
        task.phase = TaskPhase::Failed;
        return;
    default:
        task.phase = TaskPhase::Uncertain;
        return;
    }
}

void JobOwner::claim(const JobRun &run, bool ended)
{
    claims_->add(Claim{run.job.jobId, run.job.fingerprint, run.shard, ended});
}

void JobOwner::onClaimed(const ClaimsCommitted &committed, MonotonicTime now, EntryOutbox &out)
{
    for (const Claim &claimed : committed.claims) {
        const auto found = jobs_.find(claimed.jobId);
        if (found == jobs_.end()) {
            continue;
        }
        const JobRunPtr run = found->second;
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
    const auto shard = shards_.find(shardOf(message.jobId));
    if (shard == shards_.end()) {
        replyWithKind(waiter, message.jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    const auto found = jobs_.find(message.jobId);
    if (found == jobs_.end()) {
        const auto &recovered = recovered_[shard->first];
        const bool isClaimed = shard->second.recoveryId != 0 || recovered.contains(message.jobId);
        wire::JobAnswer answer;
        answer.jobId = message.jobId;
        answer.kind = isClaimed ? wire::AnswerKind::RUNNING : wire::AnswerKind::UNKNOWN_JOB;
        answer.errorKind = isClaimed ? "owner_lost" : "not_found";
        answer.errorMessage = isClaimed ? "the job's owner was lost; submit the same body again to get its answer"
                                        : "no job with this id is known; submit the job or correct the id";
        reply(waiter, answer);
        return;
    }
    const JobRunPtr run = found->second;
    if (message.cancel && (run->phase == JobPhase::Claiming || run->phase == JobPhase::Running)) {
        fail(run, "cancelled", "the caller cancelled the job", now, out);
    }
    if (run->phase == JobPhase::Ended) {
        reply(waiter, run->outputsDropped ? makeOutputDroppedAnswer(run->job) : run->answer);
    } else if (message.cancel) {
        run->waiters.push_back(waiter);
    } else {
        replyWithKind(waiter, message.jobId, wire::AnswerKind::RUNNING);
    }
}

// --- Tasks ----------------------------------------------------------------------------------

void JobOwner::onTaskReport(const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out)
{
    directory_.recordReport(report, now);
    const auto found = jobs_.find(report.jobId);
    if (found == jobs_.end()) {
        return;
    }
    const JobRunPtr run = found->second;
    const int index = run->indexOf(report.taskId);
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
    unreachable_[agent.name] = UnreachableAgent{agent.incarnation, now};
}

void JobOwner::onAgentReconnected(const AgentView &agent, MonotonicTime now, EntryOutbox &out)
{
    const auto unreachable = unreachable_.find(agent.name);
    if (unreachable == unreachable_.end()) {
        return;
    }
    const std::string previousIncarnation = unreachable->second.incarnation;
    unreachable_.erase(unreachable);
    if (previousIncarnation != agent.incarnation) {
        declareAgentLost(agent.name, previousIncarnation, now, out);
        return;
    }
    for (const JobRunPtr &run : jobs_ | std::views::values) {
        std::vector<std::string> taskIds;
        for (size_t index = 0; index < run->tasks.size(); ++index) {
            if (run->tasks[index].occupiesSlot() && run->tasks[index].agent == agent.name) {
                taskIds.push_back(run->job.tasks[index].taskId);
            }
        }
        if (!taskIds.empty()) {
            sendResolveTasks(agent, *run, std::move(taskIds), out);
        }
    }
}

void JobOwner::sendResolveTasks(const AgentView &agent,
                                const JobRun &run,
                                std::vector<std::string> taskIds,
                                EntryOutbox &out) const
{
    wire::ResolveTasks message;
    message.jobId = run.job.jobId;
    message.taskIds = std::move(taskIds);
    message.shard = run.shard;
    message.epoch = run.epoch;
    message.sequence = dispatcher_.sequence();
    out.add(SendToLink{agent.link, std::move(message)});
}

void JobOwner::requestTaskStates(const JobRun &run, TaskPhase phase, MonotonicTime now, EntryOutbox &out)
{
    std::map<std::string, std::vector<std::string>> byAgent;
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        const TaskRun &task = run.tasks[index];
        if (task.phase != phase) {
            continue;
        }
        byAgent[task.agent].push_back(run.job.tasks[index].taskId);
        if (directory_.find(task.agent) == nullptr) {
            // Asked when it reconnects; otherwise declared lost after the timeout.
            unreachable_.try_emplace(task.agent, UnreachableAgent{task.incarnation, now});
        }
    }
    for (auto &[name, taskIds] : byAgent) {
        if (const AgentView *agent = directory_.find(name)) {
            sendResolveTasks(*agent, run, std::move(taskIds), out);
        }
    }
}

void JobOwner::declareAgentLost(const std::string &agent,
                                const std::string &incarnation,
                                MonotonicTime now,
                                EntryOutbox &out)
{
    std::vector<JobRunPtr> affected;
    for (const JobRunPtr &run : jobs_ | std::views::values) {
        bool isAffected = false;
        for (TaskRun &task : run->tasks) {
            if (task.occupiesSlot() && task.agent == agent && task.incarnation == incarnation) {
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
            fail(run, "worker_lost", "agent " + agent + " was lost while it ran tasks of the job", now, out);
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
        finish(run, now, out);
        answers_.add(run);
        return;
    }
    run->answer = wire::JobAnswer();
    run->answer.jobId = run->job.jobId;
    run->answer.kind = wire::AnswerKind::COMPLETE;
    run->answer.tasks.reserve(run->tasks.size());
    for (size_t index = 0; index < run->tasks.size(); ++index) {
        wire::TaskResult result;
        result.taskId = run->job.tasks[index].taskId;
        result.ran = wire::Ran::YES;
        result.output = std::move(run->tasks[index].output);
        run->answer.tasks.push_back(std::move(result));
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
    run->answer = wire::JobAnswer();
    run->answer.jobId = run->job.jobId;
    run->answer.httpStatus = StatusOk;
    run->answer.errorKind = kind;
    run->answer.errorMessage = message;
    run->answer.retryAfterMs = FailedRetryAfterMs;
    requestTaskStates(*run, TaskPhase::Sent, now, out);
    advanceResolving(run, now, out);
}

void JobOwner::advanceResolving(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    if (run->hasTaskIn(TaskPhase::Sent) && now < run->phaseDeadline) {
        return;
    }
    run->answer.tasks.clear();
    for (size_t index = 0; index < run->tasks.size(); ++index) {
        wire::TaskResult result;
        result.taskId = run->job.tasks[index].taskId;
        result.ran = ranStateOf(run->tasks[index].phase);
        run->answer.tasks.push_back(std::move(result));
    }
    const bool isCancelled = run->answer.errorKind == "cancelled";
    const bool hasUnstarted = run->hasTaskIn(TaskPhase::Waiting);
    if (!hasUnstarted || (hasNoStartedTask(*run) && !isCancelled)) {
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
    if (!recorded || !claims_->hasLease(now)) {
        markNotRunAsUnknown(run->answer);
    }
    const bool isRefusal = hasNoStartedTask(*run) && run->answer.errorKind != "cancelled";
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
    run->phase = JobPhase::Ended;
    run->endedAt = now;
    active_.erase(run->job.jobId);
    for (const Waiter &waiter : run->waiters) {
        reply(waiter, run->answer);
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
    std::vector<JobRunPtr> overdue;
    for (const JobRunPtr &run : active_ | std::views::values) {
        const bool hasPhaseDeadline = run->phase == JobPhase::Resolving || run->phase == JobPhase::Recording;
        if (hasPhaseDeadline ? now >= run->phaseDeadline : now >= run->deadline - timing_.deadlineMargin) {
            overdue.push_back(run);
        }
    }
    for (const JobRunPtr &run : overdue) {
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
    if (const auto found = recoveries_.find(records.requestId); found != recoveries_.end()) {
        found->second.onStartRecords(records);
    }
}

void JobOwner::onTableResult(
    TableCaller caller, int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out)
{
    if (caller == TableCaller::Recovery) {
        if (const auto found = recoveries_.find(callId); found != recoveries_.end()) {
            found->second.onTableResult(result, out);
        }
        return;
    }
    if (!claims_ || callId != claimGeneration_) {
        return;
    }
    const ClaimOutcome outcome = claims_->onResult(result, now);
    if (const auto *committed = std::get_if<ClaimsCommitted>(&outcome)) {
        onClaimed(*committed, now, out);
    } else if (std::holds_alternative<ClaimLogFenced>(outcome)) {
        out.log(LogEvent::Level::Warning, "owner_fenced", {{"incarnation", incarnation_}});
        dropAllShards(out);
        fenced_ = true;
    }
}

void JobOwner::onTick(MonotonicTime now, EntryOutbox &out)
{
    for (auto entry = unreachable_.begin(); entry != unreachable_.end();) {
        if (now - entry->second.since < timing_.lostAgentTimeout) {
            ++entry;
            continue;
        }
        const auto [name, agent] = *entry;
        entry = unreachable_.erase(entry);
        declareAgentLost(name, agent.incarnation, now, out);
    }
    failOverdueJobs(now, out);
    std::ranges::for_each(answers_.expire(now), [&](const std::string &jobId) { jobs_.erase(jobId); });
    finishRecoveries(now, out);
}

void JobOwner::advance(MonotonicTime now, EntryOutbox &out)
{
    if (clusterState_.isFresh(now)) {
        dispatcher_.dispatch(now, out);
    }
    if (!claims_) {
        return;
    }
    if (auto request = claims_->nextRequest(now)) {
        out.add(TableCall{TableCaller::Claims, claimGeneration_, std::move(*request)});
    }
}

void JobOwner::reply(const Waiter &waiter, const wire::JobAnswer &answer)
{
    AddressedReply message;
    message.link = waiter.link;
    message.reply.requestId = waiter.requestId;
    message.reply.answer = answer;
    replies_.push_back(std::move(message));
}

void JobOwner::replyWithKind(const Waiter &waiter, const std::string &jobId, wire::AnswerKind::type kind)
{
    wire::JobAnswer answer;
    answer.jobId = jobId;
    answer.kind = kind;
    reply(waiter, answer);
}

std::vector<AddressedReply> JobOwner::takeReplies()
{
    return std::exchange(replies_, {});
}

} // namespace marjoramferry
