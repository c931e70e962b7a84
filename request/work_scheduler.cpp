#include "request/work_scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** A job is interrupted once so many runs of a task were lost: it can't be served at present. */
constexpr int MaxLostRuns = 8;
/** A dispatch pass ends after this many jobs that have a task no worker can take. */
constexpr int MaxUnplacedJobs = 4;
/** Base rank of the runs of late jobs: at an agent they wait behind all runs that can still be in time. */
constexpr int64_t LateRankOffsetMs = 60'000;
/** Interval between scans of all jobs and runs for passed deadlines. */
constexpr Milliseconds CheckInterval{10};
/** Upper bound of the budget for retries of overdue tasks. */
constexpr double MaxRetryBudget = 20;

} // namespace

WorkScheduler::WorkScheduler(WorkSchedulerOptions options, WorkerDirectory &directory)
    : options_(options)
    , directory_(directory)
    , containment_(directory)
    , selector_(options.selector, directory, runTimes_, health_, containment_)
{
}

Milliseconds WorkScheduler::expectedJobRunTime(const WorkJob &job, const wire::Route &route) const
{
    return criticalPathLength(
        job.steps, [&](const WorkStep &step) { return runTimes_.estimateRunTime(route.name, step.estimate); });
}

WorkScheduler::Job WorkScheduler::makeJob(const SubmitWork &call,
                                          const wire::Route &route,
                                          const std::string &jobId,
                                          MonotonicTime now) const
{
    Job job;
    job.id = jobId;
    job.requestId = call.address.requestId;
    job.tokens = {call.address.token};
    job.route = route;
    job.spec = call.job.spec;
    for (const WorkStep &definition : call.job.steps) {
        Step step;
        step.definition = definition;
        step.tasks.resize(static_cast<size_t>(definition.count));
        step.remainingTasks = definition.count;
        step.expectedRunTime = runTimes_.estimateRunTime(route.name, definition.estimate);
        job.remainingTasks += definition.count;
        job.remainingWork += workOfTask(step) * definition.count;
        job.steps.push_back(std::move(step));
    }
    job.queuedTasks = job.remainingTasks;
    const Milliseconds criticalPath = expectedJobRunTime(call.job, route);
    const Milliseconds timeout = call.timeout.count() > 0 ? call.timeout : options_.defaultTimeout;
    job.needs
        = makeNeeds(route, job.remainingTasks, job.remainingWork, criticalPath, timeout, options_.startMargin, now);
    job.needs.job = jobId;
    job.arrivedAt = now;
    job.latestStartAt = job.needs.latestStartAt;
    job.sortKey = job.latestStartAt + options_.priorityStep * route.priority;
    job.deadlineAt = now + timeout;
    job.rejectAt = job.deadlineAt;
    if (!options_.admission) {
        job.needs.worthlessAt = MonotonicTime::max();
        job.rejectAt = std::min(now + std::chrono::duration_cast<Milliseconds>(timeout * options_.queueTimeShare),
                                job.needs.answerBy - criticalPath);
    }
    return job;
}

void WorkScheduler::submit(const SubmitWork &call,
                           const wire::Route &route,
                           const std::string &jobId,
                           MonotonicTime now)
{
    jobsByToken_[call.address.token] = jobId;
    if (const auto found = jobs_.find(jobId); found != jobs_.end()) {
        found->second.tokens.push_back(call.address.token);
        out_.log(LogEvent::Level::Info, "job_joined", {{"request", call.address.requestId}, {"job", jobId}});
        return;
    }
    Job job = makeJob(call, route, jobId, now);
    job.submission = ++lastSubmission_;
    const Milliseconds runTime = expectedJobRunTime(call.job, route);
    out_.log(LogEvent::Level::Info,
             "job_accepted",
             {{"request", job.requestId},
              {"job", jobId},
              {"queue", route.name},
              {"tasks", absl::StrCat(job.remainingTasks)},
              {"expected_ms", absl::StrCat(runTime.count())},
              {"deadline_ms", absl::StrCat(millisecondsBetween(now, job.deadlineAt))},
              {"waiting_jobs", absl::StrCat(queue_.size())}});
    const bool isAdmitted = admitJob(job, admission_, now);
    Job &added = jobs_[jobId] = std::move(job);
    containment_.recordJob(route, added.remainingWork, runTime / std::max<int64_t>(1, std::ssize(added.steps)), now);
    if (const CrashVerdict verdict = containment_.verdictOnJob(jobId); verdict != CrashVerdict::MayStart) {
        giveUpAfterCrashes(jobId, verdict, now);
        return;
    }
    if (containment_.isWithoutHope(route, added.latestStartAt, now)) {
        finishJob(jobId, ResponseStatus::Rejected, "isolated_workers_down", now);
        return;
    }
    if (!isAdmitted) {
        finishJob(jobId, ResponseStatus::Rejected, "overload", now);
        return;
    }
    enqueueJob(added, now);
}

WorkScheduler::QueuePosition WorkScheduler::queuePositionOf(const Job &job, MonotonicTime now)
{
    const JobProspect prospect = job.hasStarted ? JobProspect::InTime : prospectAt(job.prospect, job.needs, now);
    return QueuePosition{prospect, job.sortKey, job.id};
}

void WorkScheduler::enqueueJob(Job &job, MonotonicTime now)
{
    if (queuePositions_.contains(job.id)) {
        return;
    }
    const QueuePosition position = queuePositionOf(job, now);
    queuePositions_[job.id] = position;
    queue_.insert(position);
}

int WorkScheduler::countPendingJobs(const std::string &queue) const
{
    return static_cast<int>(std::ranges::count_if(
        jobs_, [&](const auto &each) { return !each.second.hasStarted && each.second.route.name == queue; }));
}

bool WorkScheduler::cancel(const std::string &jobId, MonotonicTime now)
{
    if (!jobs_.contains(jobId)) {
        return false;
    }
    finishJob(jobId, ResponseStatus::Cancelled, "cancelled", now);
    return true;
}

void WorkScheduler::abandonCall(uint64_t token, MonotonicTime now)
{
    const auto found = jobsByToken_.find(token);
    if (found == jobsByToken_.end()) {
        return;
    }
    const std::string jobId = found->second;
    jobsByToken_.erase(found);
    const auto job = jobs_.find(jobId);
    if (job == jobs_.end()) {
        return;
    }
    std::erase(job->second.tokens, token);
    if (job->second.tokens.empty()) {
        finishJob(jobId, ResponseStatus::Interrupted, "caller_gone", now);
    }
}

void WorkScheduler::schedule(const OperatorStateCache &operatorState, MonotonicTime now)
{
    drainRate_.update(!queue_.empty(), now);
    containment_.update(operatorState, now);
    if (now - lastCheckAt_ >= CheckInterval) {
        lastCheckAt_ = now;
        if (options_.admission) {
            followCapacity(operatorState, now);
        }
        withdrawOverdueRuns(now);
        checkDeadlines(now);
    }
    dispatchTasks(operatorState, now);
    if (options_.admission) {
        admission_.shares().endPass(!queue_.empty(), now);
    }
    reportWaitingWork(now);
}

void WorkScheduler::reportWaitingWork(MonotonicTime now)
{
    WaitingWork &waiting = directory_.renewWaitingWork();
    const auto end = options_.selector.offers ? queue_.end() : queue_.begin();
    for (auto each = queue_.begin(); each != end && !each->isLate() && !waiting.isFull(); ++each) {
        const Job &job = jobs_.at(each->jobId);
        for (const Step &step : job.steps) {
            if (job.latestStartAt >= now && isReady(job, step)) {
                const auto tasks = std::ranges::count(step.tasks, TaskState::Queued, &Task::state);
                waiting.add(job.route.serviceName, step.definition, static_cast<int>(tasks), job.sortKey);
            }
        }
    }
}

void WorkScheduler::checkDeadlines(MonotonicTime now)
{
    std::vector<std::string> rejected;
    std::vector<std::string> expired;
    for (const auto &[id, job] : jobs_) {
        if (!job.hasStarted && (now > job.rejectAt || containment_.isWithoutHope(job.route, job.latestStartAt, now))) {
            rejected.push_back(id);
        } else if (now > job.deadlineAt) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : rejected) {
        finishJob(id, ResponseStatus::Rejected, "no_room_in_time", now);
    }
    for (const std::string &id : expired) {
        finishJob(id, ResponseStatus::Interrupted, "deadline_passed", now);
    }
    rejectHopelessJobs(now);
    updateQueuePositions(now);
}

/** Jobs that became late move behind those that can still be in time. */
void WorkScheduler::updateQueuePositions(MonotonicTime now)
{
    std::vector<QueuePosition> outdated;
    std::ranges::copy_if(queue_, std::back_inserter(outdated), [&](const QueuePosition &position) {
        const Job &job = jobs_.at(position.jobId);
        return !job.hasStarted && queuePositionOf(job, now) != position;
    });
    for (const QueuePosition &position : outdated) {
        queue_.erase(position);
        queuePositions_.erase(position.jobId);
        enqueueJob(jobs_.at(position.jobId), now);
    }
}

/** Whether the job may use the worker although it, or a job there, may crash the worker. */
bool WorkScheduler::isWorthRisk(const Job &job, const Step &step, const WorkerView &view, MonotonicTime now) const
{
    const QueueIsolation &isolation = *containment_.isolationOf(job.route.serviceName);
    const double otherJobs = isolation.maxJobsPerWorker(step.expectedRunTime, now) - 1;
    const double used = view.state.capacity.cpuMillis - view.available.cpuMillis;
    if (used <= otherJobs * step.definition.demand.cpuMillis * step.definition.count) {
        return true;
    }
    const auto runs = runsByJob_.find(job.id);
    return runs != runsByJob_.end()
        && std::ranges::any_of(runs->second, [&](int64_t number) { return runs_.at(number).agent == view.agent; });
}

void WorkScheduler::dispatchTasks(const OperatorStateCache &operatorState, MonotonicTime now)
{
    int unplacedJobs = 0;
    for (auto position = queue_.begin(); position != queue_.end() && unplacedJobs < MaxUnplacedJobs;) {
        Job &job = jobs_.at(position->jobId);
        unplacedJobs += dispatchJob(job, operatorState, now) ? 0 : 1;
        if (job.queuedTasks > 0) {
            ++position;
            continue;
        }
        queuePositions_.erase(job.id);
        position = queue_.erase(position);
    }
}

bool WorkScheduler::isReady(const Job &job, const Step &step) const
{
    return std::ranges::all_of(step.definition.dependencies, [&](int dependency) {
        return job.steps[static_cast<size_t>(dependency)].remainingTasks == 0;
    });
}

/** Dispatches the ready tasks of the job; returns false if no worker can take one of them. */
bool WorkScheduler::dispatchJob(Job &job, const OperatorStateCache &operatorState, MonotonicTime now)
{
    if (!job.hasStarted && runsByJob_.contains(job.id)) {
        return true; // The job was submitted again: its runs from before have to end first.
    }
    for (size_t s = 0; s < job.steps.size(); ++s) {
        Step &step = job.steps[s];
        if (step.remainingTasks == 0 || !isReady(job, step)) {
            continue;
        }
        std::vector<WorkerSelector::Candidate> candidates = selector_.findCandidates(
            step.definition, job.route, queuePositionOf(job, now).isLate(), operatorState, now);
        if (containment_.isIsolated(job.route)) {
            std::erase_if(candidates, [&](const auto &each) { return !isWorthRisk(job, step, *each.view, now); });
        }
        for (size_t t = 0; t < step.tasks.size(); ++t) {
            if (step.tasks[t].state != TaskState::Queued) {
                continue;
            }
            const bool isProbe = containment_.needsProbe(job.route, job.id, static_cast<int>(s), static_cast<int>(t));
            const std::string probeAgent = isProbe ? containment_.findProbeAgent(job.route, now) : "";
            if (isProbe && probeAgent.empty()) {
                continue;
            }
            auto *candidate = selector_.selectWorker(candidates,
                                                     step.definition.demand,
                                                     excludedWorkers(job, static_cast<int>(s), static_cast<int>(t)),
                                                     probeAgent);
            if (candidate == nullptr && isProbe) {
                continue;
            }
            if (candidate == nullptr) {
                selector_.requestWorkers(step.definition, job.route, operatorState, now);
                return false;
            }
            dispatchTask(job, static_cast<int>(s), static_cast<int>(t), *candidate->view, now);
            candidate->status = health_.status(candidate->view->state.worker, now);
        }
    }
    return true;
}

/** The workers on which the task failed or was overdue, and those with as many tasks of its step as it allows. */
std::vector<std::string> WorkScheduler::excludedWorkers(const Job &job, int stepIndex, int taskIndex) const
{
    const Step &step = job.steps[static_cast<size_t>(stepIndex)];
    std::vector<std::string> excluded = step.tasks[static_cast<size_t>(taskIndex)].excludedWorkers;
    const auto runs = runsByJob_.find(job.id);
    if (step.definition.maxPerWorker <= 0 || runs == runsByJob_.end()) {
        return excluded;
    }
    std::map<std::string, int> tasksByWorker;
    for (const int64_t number : runs->second) {
        const Run &run = runs_.at(number);
        if (run.step == stepIndex && ++tasksByWorker[run.worker] == step.definition.maxPerWorker) {
            excluded.push_back(run.worker);
        }
    }
    return excluded;
}

void WorkScheduler::dispatchTask(Job &job, int stepIndex, int taskIndex, WorkerView &view, MonotonicTime now)
{
    Step &step = job.steps[static_cast<size_t>(stepIndex)];
    Task &task = step.tasks[static_cast<size_t>(taskIndex)];
    const std::string worker = view.state.worker;
    if (health_.status(worker, now) == HealthStatus::Probing) {
        health_.recordProbe(worker, now);
    }
    if (!job.hasStarted) {
        containment_.recordStart(job.route, now);
    }
    task.state = TaskState::Dispatched;
    ++task.attempt;
    --job.queuedTasks;
    job.hasStarted = true;
    const double work = workOfTask(step);
    job.remainingWork = std::max(0.0, job.remainingWork - work);
    drainRate_.recordDispatched(work);
    if (options_.admission) {
        admission_.shares().recordDispatched(job.route.name, work, now);
    }
    const int64_t slackMs = std::chrono::duration_cast<Milliseconds>(job.sortKey - now).count();
    wire::RunOrder order;
    order.runNumber = ++lastRunNumber_;
    order.jobId = job.id;
    order.requestId = job.requestId;
    order.queue = job.route.name;
    order.stepIndex = stepIndex;
    order.taskIndex = taskIndex;
    order.attempt = static_cast<int>(task.attempt);
    order.spec = job.spec;
    order.worker = worker;
    order.workerBornMs = view.state.bornMs;
    order.demand = toWire(step.definition.demand);
    order.rank = job.latestStartAt < now ? LateRankOffsetMs - slackMs : slackMs;
    order.patienceMs = static_cast<int>(options_.selector.queueTimeout.count());
    Run run;
    run.jobId = job.id;
    run.submission = job.submission;
    run.step = stepIndex;
    run.task = taskIndex;
    run.agent = view.agent;
    run.worker = worker;
    run.session = view.session;
    run.dispatchedAt = now;
    run.isProbe = containment_.needsProbe(job.route, job.id, stepIndex, taskIndex);
    if (run.isProbe) {
        containment_.beginProbe();
    }
    run.overdueAt = overdueAt(step, worker, now, options_.overdueFactor);
    out_.log(LogEvent::Level::Info,
             "run_dispatched",
             {{"request", job.requestId},
              {"job", job.id},
              {"task", absl::StrCat(stepIndex, "/", taskIndex, "/", task.attempt)},
              {"worker", worker},
              {"agent", view.agent},
              {"free_cpu_millis", absl::StrCat(view.available.cpuMillis)},
              {"state_age_ms", absl::StrCat(millisecondsBetween(view.lastMessageAt, now))}});
    directory_.orderRun(view, order, now);
    runsByJob_[job.id].insert(lastRunNumber_);
    runs_[lastRunNumber_] = std::move(run);
    retryBudget_ = std::min(MaxRetryBudget, retryBudget_ + options_.retryRatio);
}

MonotonicTime
WorkScheduler::overdueAt(const Step &step, const std::string &worker, MonotonicTime dispatchedAt, int factor) const
{
    // Never below the caller's estimate: a queue may hold tasks of very different lengths.
    const Milliseconds averageRunTime = std::max(step.expectedRunTime, step.definition.estimate);
    const auto expected
        = std::chrono::duration_cast<Milliseconds>(averageRunTime * std::max(1.0, runTimes_.slowdown(worker)));
    return dispatchedAt + expected + std::max(expected * (factor - 1), options_.minOverrun);
}

void WorkScheduler::withdrawOverdueRuns(MonotonicTime now)
{
    for (auto &[number, run] : runs_) {
        if (run.isWithdrawn || now < run.overdueAt || retryBudget_ < 1) {
            continue;
        }
        const auto job = jobs_.find(run.jobId);
        if (job == jobs_.end() || job->second.submission != run.submission) {
            continue;
        }
        Step &step = job->second.steps[static_cast<size_t>(run.step)];
        if (health_.hasSucceededSince(run.worker, run.dispatchedAt)) {
            run.overdueAt = overdueAt(step, run.worker, run.dispatchedAt, options_.activeWorkerOverdueFactor);
            if (now < run.overdueAt) {
                continue;
            }
        }
        retryBudget_ -= 1;
        run.isWithdrawn = true;
        health_.recordOverdue(run.worker, run.dispatchedAt, now);
        const Milliseconds expected = step.expectedRunTime;
        // The task may just be long, so the next attempt is allowed longer than this one took.
        step.expectedRunTime
            = std::max(step.expectedRunTime, std::chrono::duration_cast<Milliseconds>(now - run.dispatchedAt));
        step.tasks[static_cast<size_t>(run.task)].excludedWorkers.push_back(run.worker);
        out_.log(LogEvent::Level::Warning,
                 "run_overdue",
                 {{"request", job->second.requestId},
                  {"job", run.jobId},
                  {"worker", run.worker},
                  {"expected_ms", absl::StrCat(expected.count())},
                  {"elapsed_ms", absl::StrCat(millisecondsBetween(run.dispatchedAt, now))}});
        directory_.withdrawRun(run.agent, run.session, number);
    }
}

void WorkScheduler::handleRunEnd(const std::string &agent, const wire::RunEnd &end, MonotonicTime now)
{
    const auto run = runs_.find(end.runNumber);
    if (run != runs_.end() && run->second.agent == agent) {
        endRun(end.runNumber, end.outcome, end.reason, end.ranMs, now);
    }
}

void WorkScheduler::handleLostRuns(const std::string &agent, int64_t session, MonotonicTime now)
{
    std::vector<int64_t> lost;
    for (const auto &[number, run] : runs_) {
        if (run.agent == agent && run.session < session) {
            lost.push_back(number);
        }
    }
    for (const int64_t number : lost) {
        endRun(number, wire::RunOutcome::GONE, "agent_lost", 0, now);
    }
}

void WorkScheduler::handleWorkerCrash(const std::string &agent, const wire::WorkerCrash &crash, MonotonicTime now)
{
    const auto isOwnJob = [this](const std::string &jobId) { return jobs_.contains(jobId); };
    if (!containment_.recordCrash(agent, crash, isOwnJob, now)) {
        return;
    }
    for (const wire::CrashedRun &run : crash.runs) {
        if (!isOwnJob(run.jobId)) {
            continue;
        }
        const CrashCounts counts = containment_.countsOf(run.jobId, run.stepIndex, run.taskIndex);
        out_.log(LogEvent::Level::Info,
                 "task_on_crashed_worker",
                 {{"request", jobs_.at(run.jobId).requestId},
                  {"job", run.jobId},
                  {"task", absl::StrCat(run.stepIndex, "/", run.taskIndex)},
                  {"worker", crash.worker},
                  {"age_ms", absl::StrCat(run.ageMs)},
                  {"crashes", absl::StrCat(counts.all)},
                  {"likely_caused", absl::StrCat(counts.likelyCaused)}});
        const CrashVerdict verdict = containment_.verdictOnTask(run.jobId, run.stepIndex, run.taskIndex);
        if (verdict != CrashVerdict::MayStart) {
            giveUpAfterCrashes(run.jobId, verdict, now);
        }
    }
}

void WorkScheduler::giveUpAfterCrashes(const std::string &jobId, CrashVerdict verdict, MonotonicTime now)
{
    const bool isCause = verdict == CrashVerdict::LikelyCause;
    finishJob(jobId,
              isCause ? ResponseStatus::Failed : ResponseStatus::Interrupted,
              isCause ? "crashes_workers" : "on_crashed_workers",
              now);
}

std::vector<WorkCommand> WorkScheduler::takeCommands()
{
    std::vector<WorkCommand> commands = containment_.takeCommands();
    std::ranges::move(admission_.takeCommands(), std::back_inserter(commands));
    std::ranges::move(out_.take(), std::back_inserter(commands));
    return commands;
}

void WorkScheduler::endRun(
    int64_t number, wire::RunOutcome::type outcome, const std::string &reason, int ranMs, MonotonicTime now)
{
    const Run run = std::move(runs_.at(number));
    runs_.erase(number);
    if (run.isProbe) {
        containment_.endProbe();
    }
    const auto siblings = runsByJob_.find(run.jobId);
    siblings->second.erase(number);
    if (siblings->second.empty()) {
        runsByJob_.erase(siblings);
    }
    if (outcome == wire::RunOutcome::DONE) {
        health_.recordSuccess(run.worker, now);
    }
    const auto found = jobs_.find(run.jobId);
    if (found == jobs_.end() || found->second.submission != run.submission) {
        return;
    }
    Job &job = found->second;
    Task &task = job.steps[static_cast<size_t>(run.step)].tasks[static_cast<size_t>(run.task)];
    if (outcome != wire::RunOutcome::DONE) {
        out_.log(LogEvent::Level::Info,
                 "run_not_completed",
                 {{"request", job.requestId},
                  {"job", job.id},
                  {"task", absl::StrCat(run.step, "/", run.task, "/", task.attempt)},
                  {"worker", run.worker},
                  {"outcome", wire::_RunOutcome_VALUES_TO_NAMES.at(outcome)},
                  {"reason", reason}});
    }
    switch (outcome) {
    case wire::RunOutcome::DONE:
        handleTaskDone(job, run, ranMs);
        if (job.remainingTasks == 0) {
            finishJob(run.jobId, ResponseStatus::Complete, "done", now);
        }
        return;
    case wire::RunOutcome::FAILED:
        handleTaskFailed(job, run, now);
        return;
    case wire::RunOutcome::NOT_STARTED:
        countReturnedWork(job, run, now);
        requeueTask(job, task, now);
        return;
    case wire::RunOutcome::GONE:
        if (++task.lostRuns >= MaxLostRuns) {
            finishJob(run.jobId, ResponseStatus::Interrupted, "lost_too_often", now);
            return;
        }
        requeueTask(job, task, now);
        return;
    }
}

void WorkScheduler::handleTaskDone(Job &job, const Run &run, int ranMs)
{
    Step &step = job.steps[static_cast<size_t>(run.step)];
    step.tasks[static_cast<size_t>(run.task)].state = TaskState::Done;
    --step.remainingTasks;
    --job.remainingTasks;
    if (ranMs > 0) {
        runTimes_.recordRun(job.route.name, run.worker, ranMs);
        // Tasks of a step are alike, so the run time of one predicts the others better than any estimate.
        step.expectedRunTime = std::max(step.expectedRunTime, Milliseconds(ranMs));
        for (const int64_t number :
             runsByJob_.contains(job.id) ? runsByJob_.at(job.id) : absl::flat_hash_set<int64_t>()) {
            Run &sibling = runs_.at(number);
            if (sibling.step == run.step) {
                const auto newOverdueAt = overdueAt(step, sibling.worker, sibling.dispatchedAt, options_.overdueFactor);
                sibling.overdueAt = std::max(sibling.overdueAt, newOverdueAt);
            }
        }
    }
}

void WorkScheduler::handleTaskFailed(Job &job, const Run &run, MonotonicTime now)
{
    health_.recordFailure(run.worker, now);
    Task &task = job.steps[static_cast<size_t>(run.step)].tasks[static_cast<size_t>(run.task)];
    ++task.failures;
    task.excludedWorkers.push_back(run.worker);
    if (task.failures >= std::max(1, static_cast<int>(job.route.maxAttempts))) {
        finishJob(run.jobId, ResponseStatus::Failed, "task_failed", now);
        return;
    }
    requeueTask(job, task, now);
}

void WorkScheduler::requeueTask(Job &job, Task &task, MonotonicTime now)
{
    task.state = TaskState::Queued;
    ++job.queuedTasks;
    enqueueJob(job, now);
}

ResponseStatus WorkScheduler::refusalStatus(const std::string &jobId, MonotonicTime now)
{
    const bool mayHaveRun
        = runsByJob_.contains(jobId) || startedJobs_.contains(jobId, now) || containment_.hasCrashedUnder(jobId);
    return mayHaveRun ? ResponseStatus::Interrupted : ResponseStatus::Rejected;
}

void WorkScheduler::finishJob(const std::string &jobId,
                              ResponseStatus status,
                              const std::string &reason,
                              MonotonicTime now)
{
    const Job job = std::move(jobs_.at(jobId));
    jobs_.erase(jobId);
    if (job.hasStarted) {
        startedJobs_.add(jobId, now);
    }
    if (status == ResponseStatus::Rejected) {
        status = refusalStatus(jobId, now);
    }
    if (const auto position = queuePositions_.find(jobId); position != queuePositions_.end()) {
        queue_.erase(position->second);
        queuePositions_.erase(position);
    }
    withdrawRuns(jobId, now);
    const bool isRejected = status == ResponseStatus::Rejected;
    const Milliseconds retryAfter = isRejected ? retryAfterDelay(job, now) : Milliseconds(0);
    for (const uint64_t token : job.tokens) {
        jobsByToken_.erase(token);
        CallResponse response;
        response.token = token;
        response.status = status;
        response.retryAfter = retryAfter;
        response.errorMessage = reason;
        responses_.push_back(std::move(response));
    }
    const int elapsedMs = millisecondsBetween(job.arrivedAt, now);
    out_.log(LogEvent::Level::Info,
             "job_ended",
             {{"request", job.requestId},
              {"job", jobId},
              {"queue", job.route.name},
              {"answer", responseStatusName(status)},
              {"reason", reason},
              {"elapsed_ms", absl::StrCat(elapsedMs)},
              {"started", job.hasStarted ? "1" : "0"},
              {"waiting_jobs", absl::StrCat(queue_.size())}});
    out_.add(Observation{"job_seconds", job.route.name, reason, elapsedMs / 1000.0});
}

void WorkScheduler::withdrawRuns(const std::string &jobId, MonotonicTime)
{
    const auto found = runsByJob_.find(jobId);
    if (found == runsByJob_.end()) {
        return;
    }
    for (const int64_t number : found->second) {
        Run &run = runs_.at(number);
        if (!run.isWithdrawn) {
            run.isWithdrawn = true;
            directory_.withdrawRun(run.agent, run.session, number);
        }
    }
}

void WorkScheduler::interruptAllJobs(const std::string &reason, MonotonicTime now)
{
    while (!jobs_.empty()) {
        const std::string id = jobs_.begin()->first;
        finishJob(
            id, jobs_.begin()->second.hasStarted ? ResponseStatus::Interrupted : ResponseStatus::Rejected, reason, now);
    }
}

} // namespace marjoramferry
