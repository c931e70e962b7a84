#include "request/job_owner.h"

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

wire::Ran::type ranOf(TaskPhase phase)
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

bool nothingStarted(const JobRun &run)
{
    return std::ranges::all_of(run.tasks, [](const TaskRun &task) { return task.phase == TaskPhase::Waiting; });
}

void makeUnknown(wire::JobAnswer &answer)
{
    for (wire::TaskResult &task : answer.tasks) {
        task.ran = task.ran == wire::Ran::NO ? wire::Ran::UNKNOWN : task.ran;
    }
}

} // namespace

JobOwner::JobOwner(OwnerTiming timing,
                   const ClusterStateTracker &keeper,
                   AgentDirectory &directory,
                   Placement placement)
    : timing_(timing)
    , keeper_(keeper)
    , directory_(directory)
    , answers_(timing.answerRetention, timing.maxAnswerBytes)
    , dispatcher_(keeper, directory, placement, *this)
{
}

// --- Shards ---------------------------------------------------------------------------------

void JobOwner::onOwnership(MonotonicTime now, EntryOutbox &out)
{
    openClaimLog();
    const std::string &self = keeper_.localOwner().incarnation;
    std::vector<int> gained;
    for (int index = 0; index < ShardCount; ++index) {
        const ShardOwnership &shard = keeper_.ownership().shard(index);
        const auto held = shards_.find(index);
        const bool isMine = shard.owner == self && claims_.has_value();
        if (held != shards_.end() && (!isMine || held->second.epoch != shard.epoch)) {
            dropShard(index, out);
        }
        if (isMine && !shards_.contains(index)) {
            shards_[index] = ShardState{shard.epoch, 0, std::nullopt};
            gained.push_back(index);
        } else if (isMine && held->second.refusingSince < keeper_.ownershipVersion()) {
            // The hand-over that this shard waited for can't take effect any more.
            held->second.refusingSince.reset();
        }
    }
    startRecoveries(gained, now);
}

void JobOwner::openClaimLog()
{
    const std::string &self = keeper_.localOwner().incarnation;
    const bool isOwner = keeper_.ownership().owners().contains(self);
    if (!isOwner || incarnation_ == self || keeper_.localFenceVersion() == 0 || !keeper_.joinSentAt()) {
        return;
    }
    incarnation_ = self;
    ++claimGeneration_;
    claims_.emplace(self, keeper_.localFenceVersion(), *keeper_.joinSentAt(), timing_.claims);
}

void JobOwner::startRecoveries(const std::vector<int> &gained, MonotonicTime now)
{
    if (gained.empty()) {
        return;
    }
    std::vector<wire::ShardEpoch> epochs;
    std::set<std::string> predecessors;
    for (const int index : gained) {
        const ShardOwnership &shard = keeper_.ownership().shard(index);
        wire::ShardEpoch epoch;
        epoch.shard = index;
        epoch.epoch = shard.epoch;
        epochs.push_back(epoch);
        for (const Predecessor &each : shard.predecessors) {
            predecessors.insert(each.incarnation);
        }
        shards_.at(index).recovery = lastRecovery_ + 1;
    }
    ++lastRecovery_;
    recoveries_.try_emplace(
        lastRecovery_, lastRecovery_, std::move(epochs), predecessors, now, timing_.recoveryPatience);
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
            if (shard != shards_.end() && shard->second.recovery == entry->first) {
                shard->second.recovery = 0;
            }
        }
        for (auto &[jobId, job] : result.jobs) {
            recovered_[shardOf(jobId)][jobId] = std::move(job);
        }
        entry = recoveries_.erase(entry);
    }
    std::vector<HeldRequest> held = std::exchange(held_, {});
    for (HeldRequest &request : held) {
        const auto shard = shards_.find(shardOf(request.message.job.jobId));
        if (shard != shards_.end() && shard->second.recovery != 0 && now < request.deadline) {
            held_.push_back(std::move(request));
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
                dispatcher_.noteFinished(*run);
            }
        });
        for (const Waiter &waiter : run->waiters) {
            replyKind(waiter, run->job.jobId, wire::AnswerKind::MOVED);
        }
        run->phase = JobPhase::Ended;
        active_.erase(run->job.jobId);
        jobs_.erase(run->job.jobId);
    }
    // Else an old run would be forgotten later under the id of a newer one.
    answers_.removeShard(shard);
}

void JobOwner::dropAllShards(EntryOutbox &out)
{
    while (!shards_.empty()) {
        dropShard(shards_.begin()->first, out);
    }
    recoveries_.clear();
    claims_.reset();
    for (const HeldRequest &request : std::exchange(held_, {})) {
        replyKind(Waiter{request.link, request.message.requestId}, request.message.job.jobId, wire::AnswerKind::MOVED);
    }
}

void JobOwner::refuseNew(const std::vector<int> &shards)
{
    for (const int index : shards) {
        if (const auto found = shards_.find(index); found != shards_.end() && !found->second.refusingSince) {
            found->second.refusingSince = keeper_.ownershipVersion();
        }
    }
}

std::vector<int> JobOwner::idleRefusingShards() const
{
    std::set<int> busy;
    for (const JobRunPtr &run : active_ | std::views::values) {
        busy.insert(run->shard);
    }
    std::vector<int> idle;
    for (const auto &[index, state] : shards_) {
        if (state.refusingSince && state.recovery == 0 && !busy.contains(index)) {
            idle.push_back(index);
        }
    }
    return idle;
}

size_t JobOwner::recoveringShards() const
{
    return static_cast<size_t>(
        std::ranges::count_if(shards_, [](const auto &entry) { return entry.second.recovery != 0; }));
}

bool JobOwner::takeDeposed()
{
    return std::exchange(deposed_, false);
}

// --- Quotas ---------------------------------------------------------------------------------

int JobOwner::partFor(int limit) const
{
    const auto &owners = keeper_.ownership().owners();
    const auto self = owners.find(keeper_.localOwner().incarnation);
    const int index = static_cast<int>(std::distance(owners.begin(), self));
    return self == owners.end() ? 0 : partOfLimit(limit, index, static_cast<int>(owners.size()));
}

int JobOwner::mayRun(const std::string &tenant) const
{
    const auto limits = keeper_.catalog().tenants.find(tenant);
    return limits == keeper_.catalog().tenants.end() ? 0 : partFor(limits->second.maxRunning);
}

// --- Submission -----------------------------------------------------------------------------

void JobOwner::onSubmit(LinkId link, const wire::SubmitJob &message, MonotonicTime now, EntryOutbox &out)
{
    const Waiter waiter{link, message.requestId};
    const std::string &jobId = message.job.jobId;
    const auto shard = shards_.find(shardOf(jobId));
    if (shard == shards_.end()) {
        replyKind(waiter, jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    if (const auto known = jobs_.find(jobId); known != jobs_.end()) {
        submitKnown(known->second, message, waiter);
        return;
    }
    if (shard->second.refusingSince) {
        replyKind(waiter, jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    if (shard->second.recovery != 0) {
        held_.push_back(HeldRequest{link, message, now + Milliseconds(message.remainingMs)});
        return;
    }
    submitNew(message, waiter, now, out);
}

void JobOwner::submitKnown(const JobRunPtr &run, const wire::SubmitJob &message, const Waiter &waiter)
{
    if (run->job.fingerprint != message.job.fingerprint) {
        wire::JobAnswer answer = notRunAnswer(
            message.job, StatusConflict, "other_body", "job_id: it names another job already; use a new one", 0);
        // The tasks of the other body may bear the same names, so nothing is said of them.
        answer.tasks.clear();
        reply(waiter, answer);
        return;
    }
    if (run->phase == JobPhase::Ended) {
        reply(waiter, run->answerDropped ? droppedAnswer(message.job) : run->answer);
        return;
    }
    // The same request may come again after a broken connection.
    std::erase_if(run->waiters,
                  [&](const Waiter &each) { return each.link == waiter.link && each.requestId == waiter.requestId; });
    run->waiters.push_back(waiter);
}

std::optional<wire::JobAnswer> JobOwner::refuse(const wire::SubmitJob &message, MonotonicTime now)
{
    if (!keeper_.isFresh(now)) {
        return notRunAnswer(message.job,
                            StatusUnavailable,
                            "not_fresh",
                            "the entry can't read the version in force; come back later",
                            FailedRetryAfterMs);
    }
    if (message.remainingMs <= 0) {
        return notRunAnswer(
            message.job, StatusUnavailable, "too_late", "the deadline passed before the job was admitted", 1);
    }
    const auto limits = keeper_.catalog().tenants.find(message.job.tenant);
    AdmissionLoad load;
    load.tenantQueued = dispatcher_.tenantCounts(message.job.tenant).queued;
    load.serviceQueued = dispatcher_.serviceCounts(message.job.serviceName).queued;
    if (limits != keeper_.catalog().tenants.end()) {
        load.tenantMayRun = partFor(limits->second.maxRunning);
        load.tenantMayQueue = partFor(limits->second.maxQueued);
    }
    return refuseEarly(message.job, Milliseconds(message.remainingMs), load, keeper_.catalog(), directory_, runTimes_);
}

void JobOwner::submitNew(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now, EntryOutbox &out)
{
    const auto &former = recovered_[shardOf(message.job.jobId)];
    const auto known = former.find(message.job.jobId);
    if (known == former.end()) {
        if (auto refusal = refuse(message, now)) {
            if (!claims_->hasLease(now)) {
                makeUnknown(*refusal);
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
        submitKnown(std::make_shared<JobRun>(std::move(other)), message, waiter);
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

void JobOwner::adoptStarts(const JobRunPtr &run, const RecoveredJob &known, MonotonicTime now, EntryOutbox &out)
{
    for (size_t index = 0; index < run->tasks.size(); ++index) {
        const auto start = known.starts.find(run->job.tasks[index].taskId);
        if (start != known.starts.end()) {
            adoptStart(run, index, start->second);
        } else if (!known.hasAllRecords) {
            run->tasks[index].phase = TaskPhase::Uncertain;
            --run->waiting;
        }
    }
    if (run->unfinished == 0) {
        complete(run, now, out);
        return;
    }
    const bool hasFailed = run->hasTaskIn(TaskPhase::Uncertain) || run->hasTaskIn(TaskPhase::Failed);
    if (known.ended || hasFailed) {
        fail(run, "owner_lost", "the job's owner was lost and not all of it can be accounted for", now, out);
        return;
    }
    resolveIn(*run, TaskPhase::Running, now, out);
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
        dispatcher_.noteAdopted(*run);
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
    // Adopted tasks may have ended while the claim was on its way.
    if (run->unfinished == 0) {
        complete(run, now, out);
    } else if (run->hasTaskIn(TaskPhase::Failed) || run->hasTaskIn(TaskPhase::Uncertain)) {
        fail(run, "owner_lost", "the job's owner was lost and not all of it can be accounted for", now, out);
    }
}

void JobOwner::onLookup(LinkId link, const wire::LookupJob &message, MonotonicTime now, EntryOutbox &out)
{
    const Waiter waiter{link, message.requestId};
    const auto shard = shards_.find(shardOf(message.jobId));
    if (shard == shards_.end()) {
        replyKind(waiter, message.jobId, wire::AnswerKind::NOT_TAKEN);
        return;
    }
    const auto found = jobs_.find(message.jobId);
    if (found == jobs_.end()) {
        const auto &former = recovered_[shard->first];
        const bool isClaimed = shard->second.recovery != 0 || former.contains(message.jobId);
        wire::JobAnswer answer;
        answer.jobId = message.jobId;
        answer.kind = isClaimed ? wire::AnswerKind::RUNNING : wire::AnswerKind::UNKNOWN_JOB;
        answer.errorKind = isClaimed ? "owner_lost" : "not_found";
        answer.errorMessage = isClaimed ? "the job's owner was lost; submit the same body again to get its answer"
                                        : "no such job is known here; submit it, or mend the id";
        reply(waiter, answer);
        return;
    }
    const JobRunPtr run = found->second;
    if (message.cancel && (run->phase == JobPhase::Claiming || run->phase == JobPhase::Running)) {
        fail(run, "cancelled", "the caller cancelled the job", now, out);
    }
    if (run->phase == JobPhase::Ended) {
        reply(waiter, run->answerDropped ? droppedAnswer(run->job) : run->answer);
    } else if (message.cancel) {
        run->waiters.push_back(waiter);
    } else {
        replyKind(waiter, message.jobId, wire::AnswerKind::RUNNING);
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
        noteRefused(run, index);
    } else {
        noteTaskEnd(run, index, report, now, out);
    }
    if (run->phase == JobPhase::Ending) {
        advanceEnding(run, now, out);
    }
}

void JobOwner::noteRefused(const JobRunPtr &run, int index)
{
    dispatcher_.noteFinished(*run);
    run->tasks[static_cast<size_t>(index)].phase = TaskPhase::Waiting;
    ++run->waiting;
    if (run->phase == JobPhase::Running) {
        dispatcher_.requeue(run, index);
    }
}

void JobOwner::noteTaskEnd(
    const JobRunPtr &run, int index, const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out)
{
    dispatcher_.noteFinished(*run);
    runTimes_.learn(run->job.serviceName, report.runMs);
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

void JobOwner::onAgentLost(const AgentView &agent, MonotonicTime now)
{
    lost_[agent.name] = LostAgent{agent.incarnation, now};
}

void JobOwner::onAgentBack(const AgentView &agent, MonotonicTime now, EntryOutbox &out)
{
    const auto lost = lost_.find(agent.name);
    if (lost == lost_.end()) {
        return;
    }
    const std::string before = lost->second.incarnation;
    lost_.erase(lost);
    if (before != agent.incarnation) {
        giveUpAgent(agent.name, before, now, out);
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
            askAgent(agent, *run, std::move(taskIds), out);
        }
    }
}

void JobOwner::askAgent(const AgentView &agent,
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

void JobOwner::resolveIn(const JobRun &run, TaskPhase phase, MonotonicTime now, EntryOutbox &out)
{
    std::map<std::string, std::vector<std::string>> byAgent;
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        const TaskRun &task = run.tasks[index];
        if (task.phase != phase) {
            continue;
        }
        byAgent[task.agent].push_back(run.job.tasks[index].taskId);
        if (directory_.find(task.agent) == nullptr) {
            // It is asked when it comes back, or given up.
            lost_.try_emplace(task.agent, LostAgent{task.incarnation, now});
        }
    }
    for (auto &[name, taskIds] : byAgent) {
        if (const AgentView *agent = directory_.find(name)) {
            askAgent(*agent, run, std::move(taskIds), out);
        }
    }
}

void JobOwner::giveUpAgent(const std::string &agent,
                           const std::string &incarnation,
                           MonotonicTime now,
                           EntryOutbox &out)
{
    std::vector<JobRunPtr> hit;
    for (const JobRunPtr &run : jobs_ | std::views::values) {
        bool isHit = false;
        for (TaskRun &task : run->tasks) {
            if (task.occupiesSlot() && task.agent == agent && task.incarnation == incarnation) {
                task.phase = TaskPhase::Uncertain;
                dispatcher_.noteFinished(*run);
                isHit = true;
            }
        }
        if (isHit) {
            hit.push_back(run);
        }
    }
    for (const JobRunPtr &run : hit) {
        if (run->phase == JobPhase::Running) {
            fail(run, "worker_lost", "agent " + agent + " was lost while it ran a part of the job", now, out);
        } else if (run->phase == JobPhase::Ending) {
            advanceEnding(run, now, out);
        }
    }
}

// --- Endings --------------------------------------------------------------------------------

void JobOwner::complete(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    if (std::ranges::any_of(run->tasks, &TaskRun::outputDropped)) {
        run->answer = droppedAnswer(run->job);
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
    run->phase = JobPhase::Ending;
    run->giveUpAt = now + timing_.resolvePatience;
    run->answer = wire::JobAnswer();
    run->answer.jobId = run->job.jobId;
    run->answer.httpStatus = StatusOk;
    run->answer.errorKind = kind;
    run->answer.errorMessage = message;
    run->answer.retryAfterMs = FailedRetryAfterMs;
    resolveIn(*run, TaskPhase::Sent, now, out);
    advanceEnding(run, now, out);
}

void JobOwner::advanceEnding(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out)
{
    if (run->hasTaskIn(TaskPhase::Sent) && now < run->giveUpAt) {
        return;
    }
    run->answer.tasks.clear();
    for (size_t index = 0; index < run->tasks.size(); ++index) {
        wire::TaskResult result;
        result.taskId = run->job.tasks[index].taskId;
        result.ran = ranOf(run->tasks[index].phase);
        run->answer.tasks.push_back(std::move(result));
    }
    const bool isCancelled = run->answer.errorKind == "cancelled";
    const bool hasUnstarted = run->hasTaskIn(TaskPhase::Waiting);
    if (!hasUnstarted || (nothingStarted(*run) && !isCancelled)) {
        finishFailed(run, true, now, out);
        return;
    }
    // "Not run" must stay true under a later owner, so it is written down before it is said.
    run->phase = JobPhase::Recording;
    run->giveUpAt = now + timing_.recordPatience;
    claim(*run, true);
}

void JobOwner::finishFailed(const JobRunPtr &run, bool recorded, MonotonicTime now, EntryOutbox &out)
{
    if (!recorded || !claims_->hasLease(now)) {
        makeUnknown(run->answer);
    }
    const bool isRefusal = nothingStarted(*run) && run->answer.errorKind != "cancelled";
    if (isRefusal) {
        run->answer.httpStatus = StatusUnavailable;
    }
    finish(run, now, out);
    if (isRefusal) {
        // Nothing ran, so the caller may bring the same job again.
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

void JobOwner::failOverdue(MonotonicTime now, EntryOutbox &out)
{
    std::vector<JobRunPtr> overdue;
    for (const JobRunPtr &run : active_ | std::views::values) {
        const bool isEnding = run->phase == JobPhase::Ending || run->phase == JobPhase::Recording;
        if (isEnding ? now >= run->giveUpAt : now >= run->deadline - timing_.endMargin) {
            overdue.push_back(run);
        }
    }
    for (const JobRunPtr &run : overdue) {
        if (run->phase == JobPhase::Ending) {
            advanceEnding(run, now, out);
        } else if (run->phase == JobPhase::Recording) {
            finishFailed(run, false, now, out);
        } else {
            fail(run, "deadline_exceeded", "the deadline passed; submit a new job with a later one", now, out);
        }
    }
}

// --- Time and the table service ---------------------------------------------------------------

void JobOwner::onStartRecords(const wire::StartRecords &records)
{
    if (const auto found = recoveries_.find(records.requestId); found != recoveries_.end()) {
        found->second.onStartRecords(records);
    }
}

void JobOwner::onTableResult(
    TableCaller user, int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out)
{
    if (user == TableCaller::Recovery) {
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
        out.log(LogEvent::Level::Warning, "owner_deposed", {{"incarnation", incarnation_}});
        dropAllShards(out);
        deposed_ = true;
    }
}

void JobOwner::onTick(MonotonicTime now, EntryOutbox &out)
{
    for (auto entry = lost_.begin(); entry != lost_.end();) {
        if (now - entry->second.since < timing_.lostAgentTimeout) {
            ++entry;
            continue;
        }
        const auto [name, lost] = *entry;
        entry = lost_.erase(entry);
        giveUpAgent(name, lost.incarnation, now, out);
    }
    failOverdue(now, out);
    std::ranges::for_each(answers_.expire(now), [&](const std::string &jobId) { jobs_.erase(jobId); });
    finishRecoveries(now, out);
}

void JobOwner::advance(MonotonicTime now, EntryOutbox &out)
{
    if (keeper_.isFresh(now)) {
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
    OwnerMessage message;
    message.link = waiter.link;
    message.reply.requestId = waiter.requestId;
    message.reply.answer = answer;
    replies_.push_back(std::move(message));
}

void JobOwner::replyKind(const Waiter &waiter, const std::string &jobId, wire::AnswerKind::type kind)
{
    wire::JobAnswer answer;
    answer.jobId = jobId;
    answer.kind = kind;
    reply(waiter, answer);
}

std::vector<OwnerMessage> JobOwner::takeReplies()
{
    return std::exchange(replies_, {});
}

} // namespace marjoramferry
