#include "request/worker_supervisor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** Room for the fences of a week of wall time, should an earlier incarnation's clock have run ahead. */
constexpr int64_t FenceStep = int64_t{7} * 24 * 3600 * 1000;
/** How often a start is tried again with a higher attempt number before it is given back. */
constexpr int MaxAttemptRaises = 8;

std::string describe(const RunKey &key)
{
    return absl::StrCat(key.jobId, "/", key.step, "/", key.task, "/", key.attempt);
}

} // namespace

const char *rejectionName(Rejection rejection)
{
    switch (rejection) {
    case Rejection::None:
        return "none";
    case Rejection::StaleFence:
        return "stale_fence";
    case Rejection::OldAttempt:
        return "old_attempt";
    case Rejection::LeaseExpired:
        return "lease_over";
    case Rejection::NoRoom:
        return "no_room";
    case Rejection::OtherIncarnation:
        return "other_incarnation";
    case Rejection::Unhealthy:
        return "unhealthy";
    case Rejection::Malformed:
        return "malformed";
    }
    return "unknown";
}

WorkerKeeper::WorkerKeeper(WorkerTiming timing, int64_t fence)
    : timing_(timing)
    , lease_(timing.leaseDuration)
    , fence_(fence)
{
}

void WorkerKeeper::announce(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    if (!worker_) {
        adopt(announcement, now);
        return;
    }
    const bool isOlder = announcement.identity.startTimeMs < worker_->identity.startTimeMs;
    const bool isSame = announcement.identity == worker_->identity;
    if (isOlder || (isSame && announcement.sequence < worker_->sequence)) {
        log(LogEvent::Level::Info,
            "announcement_stale",
            {{"worker", announcement.identity.id}, {"sequence", absl::StrCat(announcement.sequence)}});
        return;
    }
    if (announcement.identity.id != worker_->identity.id) {
        loseAll("worker_replaced", now);
        adopt(announcement, now);
        return;
    }
    if (!isSame) {
        beginLife(announcement.identity.startTimeMs, now);
        worker_ = announcement;
        lease_.noteClock(announcement.clockMs, now);
        sendHold(Milliseconds(0), false, now);
        return;
    }
    if (announcement.leaving != worker_->leaving) {
        log(LogEvent::Level::Info,
            "worker_leaving",
            {{"worker", announcement.identity.id}, {"leaving", announcement.leaving ? "1" : "0"}});
    }
    worker_ = announcement;
    announcedAt_ = now;
    lease_.noteClock(announcement.clockMs, now);
    startWaiting(now);
}

/**
 * The worker started again under its old name. What ran before is gone, but calls since then may have
 * reached the new life: which runs are there is told by its first listing under a higher fence.
 */
void WorkerKeeper::beginLife(int64_t bornMs, MonotonicTime now)
{
    log(LogEvent::Level::Warning,
        "worker_restarted",
        {{"worker", worker_->identity.id}, {"born_ms", absl::StrCat(bornMs)}, {"runs", absl::StrCat(runs_.size())}});
    worker_->identity.startTimeMs = bornMs;
    worker_->sequence = 0;
    lifeNoticedAt_ = now;
    announcedAt_ = now;
    answeredAt_ = now;
    lease_.reset();
    endsSeen_ = 0;
    endsAcknowledged_ = 0;
    settledFence_ = 0;
    raiseFence(fence_ + 1);
    requiredFence_ = fence_;
    isSettled_ = false;
}

void WorkerKeeper::adopt(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    worker_ = announcement;
    announcedAt_ = now;
    answeredAt_ = now;
    lease_.reset();
    lease_.noteClock(announcement.clockMs, now);
    endsSeen_ = 0;
    endsAcknowledged_ = 0;
    settledFence_ = 0;
    isSettled_ = false;
    holds_.clear();
    requiredFence_ = fence_;
    log(LogEvent::Level::Info,
        "worker_found",
        {{"worker", announcement.identity.id},
         {"service", announcement.service},
         {"address", announcement.address},
         {"born_ms", absl::StrCat(announcement.identity.startTimeMs)},
         {"cpu_millis", absl::StrCat(announcement.capacity.cpuMillis)}});
    sendHold(Milliseconds(0), false, now);
}

void WorkerKeeper::depart(const WorkerDeparture &departure, MonotonicTime now)
{
    if (!worker_ || worker_->identity.id != departure.id) {
        return;
    }
    log(LogEvent::Level::Info, "worker_left", {{"worker", departure.id}});
    loseAll("worker_left", now);
    worker_.reset();
    isSettled_ = false;
}

void WorkerKeeper::loseAll(const std::string &reason, MonotonicTime now)
{
    while (!runs_.empty()) {
        finish(runs_.begin()->first, wire::RunOutcome::GONE, reason, now);
    }
    for (const RunRequest &request : std::exchange(waiting_, {})) {
        refuse(request, reason);
    }
    startCalls_.clear();
}

void WorkerKeeper::request(RunRequest request, MonotonicTime now)
{
    if (isClosed_ || !worker_ || worker_->leaving) {
        refuse(request, isClosed_ ? "agent_leaving" : (worker_ ? "worker_leaving" : "no_worker"));
        return;
    }
    const auto place = std::ranges::upper_bound(waiting_, request.rank, {}, &RunRequest::rank);
    waiting_.insert(place, std::move(request));
    startWaiting(now);
}

void WorkerKeeper::withdraw(const RunTag &tag, MonotonicTime now)
{
    const auto waiting = std::ranges::find(waiting_, tag, &RunRequest::tag);
    if (waiting != waiting_.end()) {
        const RunRequest request = *waiting;
        waiting_.erase(waiting);
        refuse(request, "withdrawn");
        return;
    }
    const auto there = std::ranges::find_if(runs_, [&](const auto &entry) { return entry.second.request.tag == tag; });
    if (there != runs_.end()) {
        stop(there->second, now);
    }
}

void WorkerKeeper::withdrawSessions(const std::string &entry, int64_t session, MonotonicTime now)
{
    const auto isMeant = [&](const RunTag &tag) { return tag.entry == entry && tag.session < session; };
    for (const RunRequest &request : waiting_) {
        if (isMeant(request.tag)) {
            refuse(request, "withdrawn");
        }
    }
    std::erase_if(waiting_, [&](const RunRequest &request) { return isMeant(request.tag); });
    for (auto &[key, run] : runs_) {
        if (isMeant(run.request.tag) && run.phase != Phase::Stopping) {
            stop(run, now);
        }
    }
}

void WorkerKeeper::startWaiting(MonotonicTime now)
{
    if (!takesRuns()) {
        return;
    }
    Demand room = worker_->capacity - claimed();
    std::vector<RunRequest> left;
    for (RunRequest &request : std::exchange(waiting_, {})) {
        // A run of the same task that is still there would be the same one to the worker.
        if (!request.demand.fitsIn(room) || isTaskThere(request.key)) {
            left.push_back(std::move(request));
            continue;
        }
        room = room - request.demand;
        startOne(std::move(request), now);
    }
    waiting_ = std::move(left);
    watch(now);
}

bool WorkerKeeper::isTaskThere(const RunKey &key) const
{
    const auto from = runs_.lower_bound(RunKey{key.jobId, key.step, key.task, 0});
    return from != runs_.end() && from->first.isSameTask(key);
}

void WorkerKeeper::startOne(RunRequest request, MonotonicTime now)
{
    const RunKey key = request.key;
    log(LogEvent::Level::Info,
        "run_start",
        {{"request", request.requestId},
         {"run", describe(key)},
         {"worker", worker_->identity.id},
         {"fence", absl::StrCat(fence_)},
         {"free_cpu_millis", absl::StrCat(worker_->capacity.cpuMillis - claimed().cpuMillis)}});
    Run run;
    run.request = std::move(request);
    sendStart(runs_[key] = std::move(run), now);
}

void WorkerKeeper::sendStart(Run &run, MonotonicTime now)
{
    const RunRequest &request = run.request;
    run.startCall = ++lastCall_;
    run.fence = fence_;
    run.sentAt = now;
    startCalls_[run.startCall] = request.key;
    out_.calls.emplace_back(StartRun{run.startCall,
                                     target(),
                                     request.key,
                                     request.spec,
                                     lease_.extend(now),
                                     fence_,
                                     run.tries > 1 ? MonotonicTime::max() : request.startBy,
                                     timing_.startTimeout * run.tries});
}

void WorkerKeeper::reply(const WorkerReply &reply, MonotonicTime now)
{
    const int64_t bornMs = reply.listing ? reply.listing->startTimeMs : 0;
    const bool isOfOtherLife
        = worker_ && bornMs != 0 && worker_->identity.startTimeMs != 0 && bornMs != worker_->identity.startTimeMs;
    if (isOfOtherLife && bornMs < worker_->identity.startTimeMs) {
        holds_.erase(reply.callId);
        watch(now);
        return;
    }
    if (isOfOtherLife) {
        beginLife(bornMs, now);
    }
    if (reply.clockMs) {
        lease_.noteClock(*reply.clockMs, now);
    }
    if (const auto start = startCalls_.find(reply.callId); start != startCalls_.end()) {
        const RunKey key = start->second;
        startCalls_.erase(start);
        onStartReply(key, reply, now);
    } else if (const auto hold = holds_.find(reply.callId); hold != holds_.end()) {
        const Hold sent = hold->second;
        holds_.erase(hold);
        onHoldReply(sent, reply, now);
    }
    startWaiting(now);
    watch(now);
}

void WorkerKeeper::onStartReply(const RunKey &key, const WorkerReply &reply, MonotonicTime now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.startCall != reply.callId) {
        return;
    }
    Run &run = found->second;
    switch (reply.outcome) {
    case CallOutcome::Accepted:
        confirm(run, now);
        return;
    case CallOutcome::NotSent:
        if (run.tries > 1) {
            break;
        }
        finish(key, wire::RunOutcome::NOT_STARTED, "not_sent", now);
        return;
    case CallOutcome::Unresolved:
        log(LogEvent::Level::Warning,
            "start_unanswered",
            {{"request", run.request.requestId}, {"run", describe(key)}, {"reason", reply.problem}});
        if (run.phase == Phase::Starting && run.tries < timing_.startTries) {
            // The same start twice is one run to the worker.
            ++run.tries;
            sendStart(run, now);
            return;
        }
        leaveOpen(run, now);
        return;
    case CallOutcome::Rejected:
        break;
    }
    onStartRejected(run, reply, now);
}

/** Nothing is known of the start until the worker has taken a higher fence. */
void WorkerKeeper::leaveOpen(Run &run, MonotonicTime now)
{
    if (run.phase == Phase::Starting) {
        run.phase = Phase::Unresolved;
    }
    raiseFence(fence_ + 1);
    sendHold(Milliseconds(0), false, now);
}

void WorkerKeeper::onStartRejected(Run &run, const WorkerReply &reply, MonotonicTime now)
{
    const RunKey key = run.request.key;
    if (run.tries > 1 && reply.rejection == Rejection::OldAttempt) {
        confirm(run, now); // The first of the two began, and has ended; the next listing tells how.
        return;
    }
    if (run.tries > 1 && reply.rejection != Rejection::OtherIncarnation) {
        leaveOpen(run, now); // That the second try came to nothing says nothing of the first.
        return;
    }
    const RunRequest request = run.request;
    const bool isStopping = run.phase == Phase::Stopping;
    if (reply.rejection == Rejection::StaleFence) {
        raiseFence(run.fence == fence_ ? fence_ + FenceStep : fence_);
    }
    const bool canRetry = reply.rejection == Rejection::OldAttempt || reply.rejection == Rejection::StaleFence;
    if (canRetry && !isStopping && run.retries < MaxAttemptRaises) {
        const int retries = run.retries + 1;
        RunRequest again = request;
        runs_.erase(key);
        again.key.attempt += reply.rejection == Rejection::OldAttempt ? 1 : 0;
        startOne(again, now);
        runs_[again.key].retries = retries;
        return;
    }
    finish(key, wire::RunOutcome::NOT_STARTED, rejectionName(reply.rejection), now);
    if (reply.rejection == Rejection::OtherIncarnation) {
        loseAll("worker_replaced", now);
        isSettled_ = false;
    }
}

void WorkerKeeper::confirm(Run &run, MonotonicTime now)
{
    answeredAt_ = now;
    lease_.noteAnswer();
    run.isConfirmed = true;
    run.confirmedAt = now;
    if (run.phase == Phase::Stopping) {
        run.stopSentAt = MonotonicTime();
        stop(run, now);
    } else {
        run.phase = Phase::Running;
    }
}

void WorkerKeeper::onHoldReply(const Hold &hold, const WorkerReply &reply, MonotonicTime now)
{
    if (reply.outcome == CallOutcome::Accepted && reply.listing) {
        answeredAt_ = now;
        lease_.noteAnswer();
        settledFence_ = std::max(settledFence_, hold.fence);
        endsAcknowledged_ = std::max(endsAcknowledged_, hold.endsSeen);
        onListing(hold, *reply.listing, now);
        return;
    }
    if (reply.outcome == CallOutcome::Rejected) {
        log(LogEvent::Level::Warning,
            "hold_rejected",
            {{"worker", worker_ ? worker_->identity.id : ""}, {"reason", rejectionName(reply.rejection)}});
        if (reply.rejection == Rejection::StaleFence && hold.fence == fence_) {
            raiseFence(fence_ + FenceStep);
            sendHold(Milliseconds(0), false, now);
        } else if (reply.rejection == Rejection::OtherIncarnation) {
            loseAll("worker_replaced", now);
            isSettled_ = false;
        }
        return;
    }
    if (answeredAt_ > hold.sentAt) {
        return; // The worker has answered another call meanwhile.
    }
    if (!lease_.isDoubtful()) {
        log(LogEvent::Level::Warning,
            "worker_silent",
            {{"worker", worker_ ? worker_->identity.id : ""}, {"reason", reply.problem}});
    }
    lease_.noteSilence();
}

void WorkerKeeper::onListing(const Hold &hold, const RunListing &listing, MonotonicTime now)
{
    if (!worker_) {
        return;
    }
    for (const ListedEnd &end : listing.ended) {
        if (end.number > endsSeen_) {
            onEnd(end, now);
            endsSeen_ = end.number;
        }
    }
    settleAbsent(hold, listing, now);
    stopStrangers(listing, now);
}

void WorkerKeeper::onEnd(const ListedEnd &end, MonotonicTime now)
{
    if (!runs_.contains(end.key)) {
        return;
    }
    switch (end.kind) {
    case EndKind::Done:
        finish(end.key, wire::RunOutcome::DONE, "done", now);
        return;
    case EndKind::Failed:
        finish(end.key, wire::RunOutcome::FAILED, "failed", now);
        return;
    case EndKind::Stopped:
        finish(end.key, wire::RunOutcome::GONE, "stopped", now);
        return;
    case EndKind::LeaseExpired:
        finish(end.key, wire::RunOutcome::GONE, "lapsed", now);
        return;
    case EndKind::Broken:
        finish(end.key, wire::RunOutcome::GONE, "broken", now);
        return;
    }
}

void WorkerKeeper::settleAbsent(const Hold &hold, const RunListing &listing, MonotonicTime now)
{
    std::vector<std::pair<RunKey, wire::RunOutcome::type>> absent;
    for (auto &[key, run] : runs_) {
        const bool isListed = std::ranges::find(listing.running, key) != listing.running.end();
        if (isListed) {
            if (!run.isConfirmed && run.phase != Phase::Starting) {
                confirm(run, now);
            }
            continue;
        }
        // Nothing that carries a fence below the one the worker has taken can begin any more.
        const bool isFencedOff = run.fence < hold.fence;
        if (!run.isConfirmed && isFencedOff && run.phase != Phase::Starting) {
            absent.emplace_back(key, wire::RunOutcome::NOT_STARTED);
        } else if (run.isConfirmed && run.confirmedAt < hold.sentAt) {
            absent.emplace_back(key, wire::RunOutcome::GONE);
        }
    }
    for (const auto &[key, outcome] : absent) {
        const bool wasBefore = runs_.at(key).confirmedAt < lifeNoticedAt_;
        const char *why = wasBefore ? "worker_restarted" : "not_listed";
        finish(key, outcome, outcome == wire::RunOutcome::GONE ? why : "fenced_off", now);
    }
}

void WorkerKeeper::stopStrangers(const RunListing &listing, MonotonicTime now)
{
    size_t strangers = 0;
    for (const RunKey &key : listing.running) {
        if (runs_.contains(key)) {
            continue;
        }
        ++strangers;
        out_.calls.emplace_back(StopRun{++lastCall_, target(), key, fence_, timing_.callTimeout});
        log(LogEvent::Level::Warning,
            "run_unknown_stopped",
            {{"run", describe(key)}, {"worker", worker_->identity.id}});
    }
    const bool wasSettled = isSettled_;
    isSettled_ = strangers == 0 && settledFence_ >= requiredFence_;
    if (isSettled_ && !wasSettled) {
        log(LogEvent::Level::Info,
            "worker_settled",
            {{"worker", worker_->identity.id}, {"fence", absl::StrCat(fence_)}});
    }
    holdTriedAt_ = now;
}

void WorkerKeeper::stop(Run &run, MonotonicTime now)
{
    if (run.phase == Phase::Stopping && now - run.stopSentAt < timing_.retryPause) {
        return;
    }
    if (run.phase != Phase::Stopping) {
        log(LogEvent::Level::Info,
            "run_stop",
            {{"request", run.request.requestId}, {"run", describe(run.request.key)}});
    }
    run.phase = Phase::Stopping;
    run.stopSentAt = now;
    if (run.isConfirmed) {
        out_.calls.emplace_back(StopRun{++lastCall_, target(), run.request.key, fence_, timing_.callTimeout});
    }
    watch(now);
}

void WorkerKeeper::raiseFence(int64_t atLeast)
{
    fence_ = std::max(fence_, atLeast);
}

/** Keeps a hold at the worker as long as anything there is of interest. */
void WorkerKeeper::watch(MonotonicTime now)
{
    if (!worker_ || !shouldWatch(now)) {
        return;
    }
    const bool isRetry = lease_.isDoubtful() || !isSettled_;
    if (isRetry && now - holdTriedAt_ < timing_.retryPause) {
        return;
    }
    if (runs_.empty()) {
        sendHold(Milliseconds(0), false, now);
        return;
    }
    sendHold(isRetry ? Milliseconds(0) : timing_.maxPollWait, true, now);
}

/** Whether one more hold is of use: the first, or a second beside one that may have been lost. */
bool WorkerKeeper::shouldWatch(MonotonicTime now) const
{
    if (holds_.empty()) {
        return !runs_.empty() || !isSettled_ || endsAcknowledged_ < endsSeen_;
    }
    return holds_.size() == 1 && !runs_.empty() && now - holds_.begin()->second.sentAt >= timing_.secondWatch;
}

void WorkerKeeper::sendHold(Milliseconds wait, bool extends, MonotonicTime now)
{
    const int64_t callId = ++lastCall_;
    PollRuns call;
    call.callId = callId;
    call.target = target();
    if (extends && lease_.isReady()) {
        call.leaseEndMs = lease_.extend(now);
    }
    call.fence = fence_;
    call.acknowledgedEnd = endsSeen_;
    call.wait = wait;
    call.timeout = wait + timing_.callTimeout;
    holds_[callId] = Hold{callId, fence_, endsSeen_, now};
    holdTriedAt_ = now;
    out_.calls.emplace_back(std::move(call));
}

void WorkerKeeper::tick(MonotonicTime now)
{
    refuseOverdue(now);
    if (!worker_) {
        return;
    }
    for (auto &[key, run] : runs_) {
        if (run.phase == Phase::Stopping) {
            stop(run, now);
        }
    }
    if (lease_.isDoubtful() && !runs_.empty() && lease_.hasLapsed(now)) {
        log(LogEvent::Level::Warning,
            "lease_lapsed",
            {{"worker", worker_->identity.id},
             {"runs", absl::StrCat(runs_.size())},
             {"silent_ms", absl::StrCat(millisecondsBetween(answeredAt_, now))}});
        loseAll("lease_lapsed", now);
        raiseFence(fence_ + 1);
        requiredFence_ = fence_;
        isSettled_ = false;
    }
    if (now - announcedAt_ > timing_.announceLapse && now - answeredAt_ > timing_.announceLapse) {
        log(LogEvent::Level::Warning, "worker_lost", {{"worker", worker_->identity.id}});
        loseAll("worker_lost", now);
        worker_.reset();
        isSettled_ = false;
        return;
    }
    startWaiting(now);
    watch(now);
}

void WorkerKeeper::refuseOverdue(MonotonicTime now)
{
    const auto isOverdue = [&](const RunRequest &request) { return now > request.startBy; };
    for (const RunRequest &request : waiting_) {
        if (isOverdue(request)) {
            refuse(request, "no_room");
        }
    }
    std::erase_if(waiting_, isOverdue);
}

void WorkerKeeper::close(MonotonicTime now)
{
    isClosed_ = true;
    for (const RunRequest &request : std::exchange(waiting_, {})) {
        refuse(request, "agent_leaving");
    }
    watch(now);
}

void WorkerKeeper::finish(const RunKey &key,
                          wire::RunOutcome::type outcome,
                          const std::string &reason,
                          MonotonicTime now)
{
    const auto found = runs_.find(key);
    const Run &run = found->second;
    const int ranMs = run.isConfirmed ? millisecondsBetween(run.confirmedAt, now) : 0;
    log(LogEvent::Level::Info,
        "run_end",
        {{"request", run.request.requestId},
         {"run", describe(key)},
         {"outcome", wire::_RunOutcome_VALUES_TO_NAMES.at(outcome)},
         {"reason", reason},
         {"ran_ms", absl::StrCat(ranMs)}});
    out_.ends.push_back(EndedRun{run.request.tag, outcome, reason, ranMs});
    startCalls_.erase(run.startCall);
    runs_.erase(found);
}

void WorkerKeeper::refuse(const RunRequest &request, const std::string &reason)
{
    log(LogEvent::Level::Info,
        "run_given_back",
        {{"request", request.requestId}, {"run", describe(request.key)}, {"reason", reason}});
    out_.ends.push_back(EndedRun{request.tag, wire::RunOutcome::NOT_STARTED, reason, 0});
}

Demand WorkerKeeper::claimed() const
{
    Demand sum;
    for (const auto &[key, run] : runs_) {
        sum = sum + run.request.demand;
    }
    return sum;
}

bool WorkerKeeper::takesRuns() const
{
    return worker_ && isSettled_ && !worker_->leaving && !isClosed_ && !lease_.isDoubtful() && lease_.isReady();
}

WorkerTarget WorkerKeeper::target() const
{
    return worker_ ? WorkerTarget{worker_->address, worker_->identity.id} : WorkerTarget{};
}

wire::WorkerState WorkerKeeper::state() const
{
    wire::WorkerState state;
    if (worker_) {
        state.worker = worker_->identity.id;
        state.bornMs = worker_->identity.startTimeMs;
        state.serviceName = worker_->service;
        state.domain = worker_->domain;
        state.labels = worker_->labels;
        state.capacity = toWire(worker_->capacity);
    }
    return state;
}

wire::WorkerRoom WorkerKeeper::room() const
{
    wire::WorkerRoom room;
    if (worker_) {
        Demand waiting;
        for (const RunRequest &request : waiting_) {
            waiting = waiting + request.demand;
        }
        room.unclaimed = toWire(worker_->capacity - claimed() - waiting);
        room.takesRuns = takesRuns();
    }
    return room;
}

void WorkerKeeper::log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields)
{
    out_.logs.push_back(LogEvent{level, event, std::move(fields)});
}

WorkerKeeper::Output WorkerKeeper::take()
{
    return std::exchange(out_, {});
}

} // namespace marjoramferry
