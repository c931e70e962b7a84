#include "request/work_scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace marjoramferry {

namespace {

/** A run that is lost again and again says that its job can't be served at present. */
constexpr int64_t MaxAttempts = 8;
/** Jobs looked at in a row that find no room before the rest of the queue is left for later. */
constexpr int MaxMisses = 4;
/** Runs of late jobs wait at an agent behind all that can be in time. */
constexpr int64_t LateRankMs = 60'000;
/** An answer should reach its caller this long before it stops waiting. */
constexpr Milliseconds AnswerMargin{20};
/** Over how long the rate at which waiting jobs get room is measured, and how much an older value counts. */
constexpr Milliseconds DrainSpan{100};
constexpr double DrainMemory = 0.6;
/** Between two looks at all jobs and runs for those whose time is over. */
constexpr Milliseconds CheckPause{10};
constexpr Milliseconds LeastRetryAfter{1000};
constexpr Milliseconds MostRetryAfter{10'000};
/** Most that retries of overdue tasks may be saved up. */
constexpr double MostRetryBudget = 20;

/** The longest chain of expected run times through the steps. */
Milliseconds longestChain(const std::vector<WorkStep> &steps, const std::vector<Milliseconds> &expected)
{
    std::vector<Milliseconds> ends(steps.size());
    Milliseconds longest{0};
    for (size_t i = 0; i < steps.size(); ++i) {
        Milliseconds begin{0};
        for (const int before : steps[i].dependencies) {
            begin = std::max(begin, ends[static_cast<size_t>(before)]);
        }
        ends[i] = begin + expected[i];
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace

WorkDesk::WorkDesk(DeskOptions options, WorkerDirectory &directory)
    : options_(options)
    , directory_(directory)
    , choice_(options.selector, directory, book_, health_)
{
}

Milliseconds WorkDesk::expectedTime(const WorkJob &job, const wire::Route &route) const
{
    std::vector<Milliseconds> expected;
    expected.reserve(job.steps.size());
    for (const WorkStep &step : job.steps) {
        expected.push_back(book_.expect(route.name, step.estimate));
    }
    return longestChain(job.steps, expected);
}

void WorkDesk::submit(const SubmitWork &call, const wire::Route &route, const std::string &jobId, MonotonicTime now)
{
    jobsByToken_[call.address.token] = jobId;
    if (const auto found = jobs_.find(jobId); found != jobs_.end()) {
        found->second.tokens.push_back(call.address.token);
        out_.log(LogEvent::Level::Info, "job_joined", {{"request", call.address.requestId}, {"job", jobId}});
        return;
    }
    Job job;
    job.id = jobId;
    job.requestId = call.address.requestId;
    job.tokens = {call.address.token};
    job.route = route;
    job.spec = call.job.spec;
    for (const WorkStep &wanted : call.job.steps) {
        Step step;
        step.wanted = wanted;
        step.tasks.resize(static_cast<size_t>(wanted.count));
        step.left = wanted.count;
        step.expected = book_.expect(route.name, wanted.estimate);
        job.left += wanted.count;
        job.workLeft += static_cast<double>(step.expected.count()) * wanted.count * wanted.demand.cpuMillis;
        job.steps.push_back(std::move(step));
    }
    job.queued = job.left;
    const Milliseconds chain = expectedTime(call.job, route);
    const Milliseconds wait = call.timeout.count() > 0 ? call.timeout : options_.defaultDeadline;
    const auto objective
        = std::chrono::duration_cast<Milliseconds>(chain * route.stretch) + Milliseconds(route.targetLatencyMs);
    job.arrivedAt = now;
    job.startBy = now + objective - std::chrono::duration_cast<Milliseconds>(chain * (1 + options_.startMargin));
    job.urgency = job.startBy + options_.priorityStep * route.priority;
    job.deadlineAt = now + wait;
    job.rejectAt = std::min(now + std::chrono::duration_cast<Milliseconds>(wait * options_.waitShare),
                            job.deadlineAt - AnswerMargin - chain);
    out_.log(LogEvent::Level::Info,
             "job_accepted",
             {{"request", job.requestId},
              {"job", jobId},
              {"queue", route.name},
              {"tasks", absl::StrCat(job.left)},
              {"expected_ms", absl::StrCat(chain.count())},
              {"deadline_ms", absl::StrCat(wait.count())},
              {"waiting_jobs", absl::StrCat(queue_.size())}});
    const bool isAdmitted = admit(job, now);
    Job &kept = jobs_[jobId] = std::move(job);
    if (!isAdmitted) {
        finish(jobId, ResponseStatus::Rejected, "overload", now);
        return;
    }
    enqueue(kept, now);
}

/**
 * Foresees when the job would begin behind those that go before it. One that can't be in time then goes
 * behind all that can; one that could not begin before it would be rejected anyway is rejected now.
 */
bool WorkDesk::admit(Job &job, MonotonicTime now) const
{
    if (queue_.empty() || drain_ <= 0) {
        return true;
    }
    const Milliseconds wait = expectedWait(placeOf(job, now));
    job.isHopeless = now + wait > job.startBy;
    if (!job.isHopeless) {
        return true;
    }
    // Behind all that can be in time it waits longer.
    return now + expectedWait(placeOf(job, now)) <= job.rejectAt;
}

Milliseconds WorkDesk::expectedWait(const Place &place) const
{
    double ahead = 0;
    for (auto each = queue_.begin(); each != queue_.end() && *each < place; ++each) {
        ahead += jobs_.at(each->jobId).workLeft;
    }
    return Milliseconds(static_cast<int64_t>(ahead / drain_));
}

/** Learns how fast jobs that wait get room here. */
void WorkDesk::measureDrain(MonotonicTime now)
{
    if (now - measuredAt_ >= DrainSpan) {
        const double rate = placedWork_ / std::max(1, millisecondsBetween(measuredAt_, now));
        const double kept = drain_ > 0 ? DrainMemory : 0;
        drain_ = hasWaited_ ? drain_ * kept + rate * (1 - kept) : std::max(drain_, rate);
        placedWork_ = 0;
        measuredAt_ = now;
        hasWaited_ = true;
    }
    hasWaited_ = hasWaited_ && !queue_.empty();
}

WorkDesk::Place WorkDesk::placeOf(const Job &job, MonotonicTime now)
{
    const bool isLate = !job.hasBegun && (job.isHopeless || job.startBy < now);
    return Place{isLate, job.urgency, job.id};
}

void WorkDesk::enqueue(Job &job, MonotonicTime now)
{
    if (places_.contains(job.id)) {
        return;
    }
    const Place place = placeOf(job, now);
    places_[job.id] = place;
    queue_.insert(place);
}

bool WorkDesk::knows(const std::string &jobId) const
{
    return jobs_.contains(jobId);
}

int WorkDesk::pending(const std::string &route) const
{
    return static_cast<int>(std::ranges::count_if(
        jobs_, [&](const auto &each) { return !each.second.hasBegun && each.second.route.name == route; }));
}

bool WorkDesk::cancel(const std::string &jobId, MonotonicTime now)
{
    if (!jobs_.contains(jobId)) {
        return false;
    }
    finish(jobId, ResponseStatus::Cancelled, "cancelled", now);
    return true;
}

void WorkDesk::abandon(uint64_t token, MonotonicTime now)
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
        finish(jobId, ResponseStatus::Interrupted, "caller_gone", now);
    }
}

void WorkDesk::advance(const OperatorStateCache &operators, MonotonicTime now)
{
    measureDrain(now);
    if (now - checkedAt_ >= CheckPause) {
        checkedAt_ = now;
        withdrawOverdue(now);
        rejectHopeless(now);
    }
    placeTasks(operators, now);
}

void WorkDesk::rejectHopeless(MonotonicTime now)
{
    std::vector<std::string> hopeless;
    std::vector<std::string> expired;
    for (const auto &[id, job] : jobs_) {
        if (!job.hasBegun && now > job.rejectAt) {
            hopeless.push_back(id);
        } else if (now > job.deadlineAt) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : hopeless) {
        finish(id, ResponseStatus::Rejected, "no_room_in_time", now);
    }
    for (const std::string &id : expired) {
        finish(id, ResponseStatus::Interrupted, "deadline_passed", now);
    }
    // Those that can't be in time any more move behind those that can.
    std::vector<Place> outdated;
    for (const Place &place : queue_) {
        const Job &job = jobs_.at(place.jobId);
        if (place.isLate) {
            break;
        }
        if (!job.hasBegun && job.startBy < now) {
            outdated.push_back(place);
        }
    }
    for (const Place &place : outdated) {
        queue_.erase(place);
        places_.erase(place.jobId);
        enqueue(jobs_.at(place.jobId), now);
    }
}

void WorkDesk::placeTasks(const OperatorStateCache &operators, MonotonicTime now)
{
    int misses = 0;
    for (auto place = queue_.begin(); place != queue_.end() && misses < MaxMisses;) {
        Job &job = jobs_.at(place->jobId);
        misses += placeJob(job, operators, now) ? 0 : 1;
        if (job.queued > 0) {
            ++place;
            continue;
        }
        places_.erase(job.id);
        place = queue_.erase(place);
    }
}

bool WorkDesk::isReady(const Job &job, const Step &step) const
{
    return std::ranges::all_of(step.wanted.dependencies,
                               [&](int before) { return job.steps[static_cast<size_t>(before)].left == 0; });
}

/** Returns false if a task found no worker. */
bool WorkDesk::placeJob(Job &job, const OperatorStateCache &operators, MonotonicTime now)
{
    if (!job.hasBegun && runsOf_.contains(job.id)) {
        return true; // Runs from before the job was sent again have to end first.
    }
    for (size_t s = 0; s < job.steps.size(); ++s) {
        Step &step = job.steps[s];
        if (step.left == 0 || !isReady(job, step)) {
            continue;
        }
        std::vector<WorkerChoice::Candidate> candidates
            = choice_.find(step.wanted, job.route, placeOf(job, now).isLate, operators, now);
        for (size_t t = 0; t < step.tasks.size(); ++t) {
            if (step.tasks[t].phase != Phase::Queued) {
                continue;
            }
            auto *chosen = choice_.choose(candidates, step.wanted.demand, step.tasks[t].avoid);
            if (chosen == nullptr) {
                return false;
            }
            sendTask(job, static_cast<int>(s), static_cast<int>(t), *chosen->view, now);
            chosen->trust = health_.trust(chosen->view->state.worker, now);
        }
    }
    return true;
}

void WorkDesk::sendTask(Job &job, int stepIndex, int taskIndex, WorkerView &view, MonotonicTime now)
{
    Step &step = job.steps[static_cast<size_t>(stepIndex)];
    Task &task = step.tasks[static_cast<size_t>(taskIndex)];
    const std::string worker = view.state.worker;
    if (health_.trust(worker, now) == Trust::Probe) {
        health_.noteProbe(worker, now);
    }
    task.phase = Phase::Ordered;
    ++task.attempt;
    --job.queued;
    job.hasBegun = true;
    const double work = static_cast<double>(step.expected.count()) * step.wanted.demand.cpuMillis;
    job.workLeft = std::max(0.0, job.workLeft - work);
    placedWork_ += work;
    const int64_t slackMs = std::chrono::duration_cast<Milliseconds>(job.urgency - now).count();
    wire::RunOrder order;
    order.runNumber = ++lastRun_;
    order.jobId = job.id;
    order.requestId = job.requestId;
    order.stepIndex = stepIndex;
    order.taskIndex = taskIndex;
    order.attempt = static_cast<int>(task.attempt);
    order.spec = job.spec;
    order.demand = toWire(step.wanted.demand);
    order.rank = job.startBy < now ? LateRankMs - slackMs : slackMs;
    order.patienceMs = static_cast<int>(options_.patience.count());
    Run run;
    run.jobId = job.id;
    run.step = stepIndex;
    run.task = taskIndex;
    run.agent = view.agent;
    run.worker = worker;
    run.session = view.session;
    run.orderedAt = now;
    run.overdueAt = overdueAt(step, worker, now, options_.overdueFactor);
    out_.log(LogEvent::Level::Info,
             "run_ordered",
             {{"request", job.requestId},
              {"job", job.id},
              {"task", absl::StrCat(stepIndex, "/", taskIndex, "/", task.attempt)},
              {"worker", worker},
              {"agent", view.agent},
              {"room_cpu_millis", absl::StrCat(view.room.cpuMillis)},
              {"state_age_ms", absl::StrCat(millisecondsBetween(view.heardAt, now))}});
    directory_.order(view, order);
    runsOf_[job.id].insert(lastRun_);
    runs_[lastRun_] = std::move(run);
    retryBudget_ = std::min(MostRetryBudget, retryBudget_ + options_.retryShare);
}

MonotonicTime
WorkDesk::overdueAt(const Step &step, const std::string &worker, MonotonicTime orderedAt, int factor) const
{
    // What the caller declared counts as well: a queue may hold tasks of very different lengths.
    const Milliseconds onMiddling = std::max(step.expected, step.wanted.estimate);
    const auto expected = std::chrono::duration_cast<Milliseconds>(onMiddling * std::max(1.0, book_.slowness(worker)));
    return orderedAt + expected + std::max(expected * (factor - 1), options_.overdueLeast);
}

void WorkDesk::withdrawOverdue(MonotonicTime now)
{
    for (auto &[number, run] : runs_) {
        if (run.isWithdrawn || now < run.overdueAt || retryBudget_ < 1) {
            continue;
        }
        const auto job = jobs_.find(run.jobId);
        if (job == jobs_.end()) {
            continue;
        }
        Step &step = job->second.steps[static_cast<size_t>(run.step)];
        if (health_.hasSucceededSince(run.worker, run.orderedAt)) {
            run.overdueAt = overdueAt(step, run.worker, run.orderedAt, options_.longFactor);
            if (now < run.overdueAt) {
                continue;
            }
        }
        retryBudget_ -= 1;
        run.isWithdrawn = true;
        health_.noteOverdue(run.worker, run.orderedAt, now);
        // The next try gets as long as this one had, and more: perhaps the task is just long.
        step.expected = std::max(step.expected, std::chrono::duration_cast<Milliseconds>(now - run.orderedAt));
        step.tasks[static_cast<size_t>(run.task)].avoid.push_back(run.worker);
        out_.log(LogEvent::Level::Warning,
                 "run_overdue",
                 {{"request", job->second.requestId},
                  {"job", run.jobId},
                  {"worker", run.worker},
                  {"expected_ms", absl::StrCat(step.expected.count())},
                  {"elapsed_ms", absl::StrCat(millisecondsBetween(run.orderedAt, now))}});
        directory_.withdraw(run.agent, run.session, number);
    }
}

void WorkDesk::noteEnd(const std::string &agent, const wire::RunEnd &end, MonotonicTime now)
{
    const auto run = runs_.find(end.runNumber);
    if (run != runs_.end() && run->second.agent == agent) {
        endRun(end.runNumber, end.outcome, end.reason, end.ranMs, now);
    }
}

void WorkDesk::loseRuns(const std::string &agent, int64_t session, MonotonicTime now)
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

void WorkDesk::endRun(
    int64_t number, wire::RunOutcome::type outcome, const std::string &reason, int ranMs, MonotonicTime now)
{
    const Run run = std::move(runs_.at(number));
    runs_.erase(number);
    const auto siblings = runsOf_.find(run.jobId);
    siblings->second.erase(number);
    if (siblings->second.empty()) {
        runsOf_.erase(siblings);
    }
    if (outcome == wire::RunOutcome::DONE) {
        health_.noteSuccess(run.worker, now);
    }
    const auto found = jobs_.find(run.jobId);
    if (found == jobs_.end()) {
        return;
    }
    Job &job = found->second;
    Task &task = job.steps[static_cast<size_t>(run.step)].tasks[static_cast<size_t>(run.task)];
    if (outcome != wire::RunOutcome::DONE) {
        out_.log(LogEvent::Level::Info,
                 "run_not_done",
                 {{"request", job.requestId},
                  {"job", job.id},
                  {"task", absl::StrCat(run.step, "/", run.task, "/", task.attempt)},
                  {"worker", run.worker},
                  {"outcome", wire::_RunOutcome_VALUES_TO_NAMES.at(outcome)},
                  {"reason", reason}});
    }
    switch (outcome) {
    case wire::RunOutcome::DONE:
        taskDone(job, run, ranMs);
        if (job.left == 0) {
            finish(run.jobId, ResponseStatus::Complete, "done", now);
        }
        return;
    case wire::RunOutcome::FAILED:
        taskFailed(job, run, now);
        return;
    case wire::RunOutcome::NOT_STARTED:
        requeue(job, task, now);
        return;
    case wire::RunOutcome::GONE:
        if (task.attempt >= MaxAttempts) {
            finish(run.jobId, ResponseStatus::Failed, "lost_too_often", now);
            return;
        }
        requeue(job, task, now);
        return;
    }
}

void WorkDesk::taskDone(Job &job, const Run &run, int ranMs)
{
    Step &step = job.steps[static_cast<size_t>(run.step)];
    step.tasks[static_cast<size_t>(run.task)].phase = Phase::Done;
    --step.left;
    --job.left;
    if (ranMs > 0) {
        book_.note(job.route.name, run.worker, ranMs);
        // Tasks of a step are alike, so one that ended tells more of the others than any estimate.
        step.expected = std::max(step.expected, Milliseconds(ranMs));
        for (const int64_t number : runsOf_.contains(job.id) ? runsOf_.at(job.id) : absl::flat_hash_set<int64_t>()) {
            Run &sibling = runs_.at(number);
            if (sibling.step == run.step) {
                const auto later = overdueAt(step, sibling.worker, sibling.orderedAt, options_.overdueFactor);
                sibling.overdueAt = std::max(sibling.overdueAt, later);
            }
        }
    }
}

void WorkDesk::taskFailed(Job &job, const Run &run, MonotonicTime now)
{
    health_.noteFailure(run.worker, now);
    Task &task = job.steps[static_cast<size_t>(run.step)].tasks[static_cast<size_t>(run.task)];
    ++task.failures;
    task.avoid.push_back(run.worker);
    if (task.failures >= std::max(1, static_cast<int>(job.route.maxAttempts))) {
        finish(run.jobId, ResponseStatus::Failed, "task_failed", now);
        return;
    }
    requeue(job, task, now);
}

void WorkDesk::requeue(Job &job, Task &task, MonotonicTime now)
{
    task.phase = Phase::Queued;
    ++job.queued;
    enqueue(job, now);
}

void WorkDesk::finish(const std::string &jobId, ResponseStatus answer, const std::string &reason, MonotonicTime now)
{
    const Job job = std::move(jobs_.at(jobId));
    jobs_.erase(jobId);
    if (const auto place = places_.find(jobId); place != places_.end()) {
        queue_.erase(place->second);
        places_.erase(place);
    }
    withdrawRuns(jobId, now);
    const bool isRejected = answer == ResponseStatus::Rejected;
    const Milliseconds retryAfter = isRejected ? backlog() : Milliseconds(0);
    for (const uint64_t token : job.tokens) {
        jobsByToken_.erase(token);
        CallResponse each;
        each.token = token;
        each.status = answer;
        each.retryAfter = retryAfter;
        each.errorMessage = reason;
        answers_.push_back(std::move(each));
    }
    const int elapsedMs = millisecondsBetween(job.arrivedAt, now);
    out_.log(LogEvent::Level::Info,
             "job_ended",
             {{"request", job.requestId},
              {"job", jobId},
              {"queue", job.route.name},
              {"answer", answerName(answer)},
              {"reason", reason},
              {"elapsed_ms", absl::StrCat(elapsedMs)},
              {"begun", job.hasBegun ? "1" : "0"},
              {"waiting_jobs", absl::StrCat(queue_.size())}});
    out_.add(Observation{"job_seconds", job.route.name, reason, elapsedMs / 1000.0});
}

void WorkDesk::withdrawRuns(const std::string &jobId, MonotonicTime)
{
    const auto found = runsOf_.find(jobId);
    if (found == runsOf_.end()) {
        return;
    }
    for (const int64_t number : found->second) {
        Run &run = runs_.at(number);
        if (!run.isWithdrawn) {
            run.isWithdrawn = true;
            directory_.withdraw(run.agent, run.session, number);
        }
    }
}

Milliseconds WorkDesk::backlog() const
{
    const double waitingMs = std::accumulate(queue_.begin(), queue_.end(), 0.0, [this](double sum, const Place &place) {
        return sum + jobs_.at(place.jobId).workLeft;
    });
    double capacity = 1;
    for (const auto &[agent, view] : directory_.views()) {
        capacity += view.state.capacity.cpuMillis;
    }
    const Milliseconds wait(static_cast<int64_t>(waitingMs / capacity));
    return std::clamp(wait, LeastRetryAfter, MostRetryAfter);
}

void WorkDesk::rejectWaiting(MonotonicTime now)
{
    std::vector<std::string> waiting;
    for (const auto &[id, job] : jobs_) {
        if (!job.hasBegun) {
            waiting.push_back(id);
        }
    }
    for (const std::string &id : waiting) {
        finish(id, ResponseStatus::Rejected, "stopping", now);
    }
}

void WorkDesk::interruptAll(MonotonicTime now)
{
    while (!jobs_.empty()) {
        const std::string id = jobs_.begin()->first;
        finish(id,
               jobs_.begin()->second.hasBegun ? ResponseStatus::Interrupted : ResponseStatus::Rejected,
               "stopping",
               now);
    }
}

} // namespace marjoramferry
