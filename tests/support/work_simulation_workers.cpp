#include "tests/support/work_simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace marjoramferry::testing {

namespace {

constexpr Milliseconds AnnouncementInterval{1500};
/** Time from a crash of a worker to the start of the next one. */
constexpr Milliseconds CrashDowntime{3300};
/** Late starts that a worker which returns executes first. More would exceed its capacity by themselves. */
constexpr size_t MaxStartsAtReturn = 4;

} // namespace

void WorkSimulation::callWorker(int agent, const WorkerCall &call)
{
    const auto &node = agents_.at(static_cast<size_t>(agent));
    const int64_t generation = node.generation;
    const auto *timed = std::get_if<StartRun>(&call);
    if (timed != nullptr && node.clock.read(now_) > timed->notAfter) {
        WorkerReply notSent;
        notSent.callId = timed->callId;
        notSent.outcome = CallOutcome::NotSent;
        schedule(Milliseconds(0), [this, agent, generation, notSent] { deliverToAgent(agent, generation, notSent); });
        return;
    }
    const MonotonicTime timeoutAt = now_ + std::visit([](const auto &each) { return each.timeout; }, call);
    const int64_t callId = std::visit([](const auto &each) { return each.callId; }, call);
    const PendingCall pending{agent, generation, callId, now_, timeoutAt};
    if (sendIfSilent(pending, call)) {
        return;
    }
    const bool isLost = std::holds_alternative<StartRun>(call) && drawBool(options_.lostResponseShare);
    const bool isLate = std::holds_alternative<StartRun>(call) && !isLost && drawBool(options_.lateOrderShare);
    if (isLate || isLost) {
        std::uniform_int_distribution<int> delay(2000, 6000);
        const auto &start = std::get<StartRun>(call);
        const auto &receiver = workers_.at(static_cast<size_t>(agent));
        const int64_t startTimeMs = receiver ? receiver->identity().startTimeMs : 0;
        const int64_t id = ++lastLateStart_;
        lateStarts_[id] = LateStart{agent, start, startTimeMs};
        schedule(Milliseconds(isLost ? 0 : delay(random_)), [this, id] { executeLateStart(id); });
        WorkerReply noReply;
        noReply.callId = start.callId;
        schedule(start.timeout, [this, agent, generation, noReply] { deliverToAgent(agent, generation, noReply); });
        return;
    }
    if (std::holds_alternative<StopRun>(call) && options_.lostStopShare > 0 && drawBool(options_.lostStopShare)) {
        leaveUnanswered(pending);
        return;
    }
    if (std::holds_alternative<StopRun>(call) && drawBool(options_.lateStopShare)) {
        std::uniform_int_distribution<int> delay(2000, 6000);
        schedule(Milliseconds(delay(random_)), [this, agent, call] {
            if (workers_.at(static_cast<size_t>(agent))) {
                worker(agent).call(call, now_);
            }
        });
        leaveUnanswered(pending);
        return;
    }
    actions_[{now_ + WorkerLatency, ++lastActionId_}] = [this, pending, call] {
        if (!workers_.at(static_cast<size_t>(pending.agent))) {
            refuseCall(pending);
            return;
        }
        if (isFailingCalls(pending.agent)) {
            failCall(pending, call);
            return;
        }
        const WorkerReply reply = executeCall(pending.agent, call);
        if (const auto *poll = std::get_if<PollRuns>(&call)) {
            respondToPoll(pending, *poll, now_ + poll->wait);
            return;
        }
        replyToAgent(pending, reply);
    };
}

/** The HTTP client reports a call as timed out if it is past its time-out, even if the response has arrived. */
void WorkSimulation::replyToAgent(const PendingCall &pending, WorkerReply reply)
{
    if (isSilent(pending)) {
        leaveUnanswered(pending);
        return;
    }
    const auto &node = agents_.at(static_cast<size_t>(pending.agent));
    constexpr double TimeoutShare = 0.5;
    if (node.isFrozen && node.frozenUntil > pending.timeoutAt && drawBool(TimeoutShare)) {
        WorkerReply noReply;
        noReply.callId = reply.callId;
        reply = noReply;
    }
    if (node.isSuspended) {
        actions_[{retransmittedArrival(node, now_), ++lastActionId_}]
            = [this, pending, reply = std::move(reply)]() mutable {
                  deliverToAgent(pending.agent, pending.generation, std::move(reply));
              };
        return;
    }
    recordSeenRuns(pending, reply);
    deliverToAgent(pending.agent, pending.generation, std::move(reply));
}

WorkerReply WorkSimulation::executeCall(int agent, const WorkerCall &call)
{
    const auto *start = std::get_if<StartRun>(&call);
    return start != nullptr ? executeStart(agent, *start) : worker(agent).call(call, now_);
}

WorkerReply WorkSimulation::executeStart(int agent, const StartRun &start)
{
    WorkerModel &model = worker(agent);
    WorkerReply reply = model.call(start, now_);
    if (const auto crashTime = model.crashTime()) {
        actions_[{*crashTime, ++lastActionId_}] = [this, agent, key = start.key] { crashIfDue(agent, key); };
    }
    return reply;
}

void WorkSimulation::crashIfDue(int agent, const RunKey &key)
{
    const auto &current = workers_.at(static_cast<size_t>(agent));
    const auto crashTime = current ? current->crashTime() : std::nullopt;
    if (crashTime && *crashTime <= now_) {
        ++crashesByTask_[{key.jobId, key.task}];
        crashWorker(agent, CrashDowntime);
    }
}

void WorkSimulation::crashWorker(int agent, Milliseconds downtime)
{
    auto &current = workers_.at(static_cast<size_t>(agent));
    if (!current) {
        return;
    }
    current->crash(now_);
    deadWorkers_.emplace_back(agent, std::move(current));
    schedule(downtime, [this, agent] {
        if (!workers_.at(static_cast<size_t>(agent))) {
            restartWorker(agent, false);
        }
    });
}

bool WorkSimulation::isFailingCalls(int agent) const
{
    return now_ < failingCalls_.at(static_cast<size_t>(agent)).until;
}

void WorkSimulation::failCall(const PendingCall &pending, const WorkerCall &call)
{
    WorkerReply reply;
    reply.callId = pending.callId;
    switch (failingCalls_.at(static_cast<size_t>(pending.agent)).failure) {
    case CallFailure::Unhealthy:
        reply.outcome = CallOutcome::Rejected;
        reply.rejection = Rejection::Unhealthy;
        break;
    case CallFailure::ConnectionRefused:
        refuseCall(pending);
        return;
    case CallFailure::ConnectionReset:
        if (std::bernoulli_distribution(ExecutedShare)(disruptionRandom_)) {
            executeCall(pending.agent, call);
        }
        break;
    case CallFailure::NoAnswer:
        leaveUnanswered(pending);
        return;
    case CallFailure::Malformed:
        if (std::holds_alternative<PollRuns>(call)) {
            reply.outcome = CallOutcome::Accepted; // Without a listing.
        } else {
            reply.outcome = CallOutcome::Rejected;
            reply.rejection = Rejection::Malformed;
        }
        break;
    }
    replyToAgent(pending, reply);
}

void WorkSimulation::refuseCall(const PendingCall &pending)
{
    if (isSilent(pending)) {
        leaveUnanswered(pending);
        return;
    }
    WorkerReply refused;
    refused.callId = pending.callId;
    refused.outcome = CallOutcome::NotSent;
    refused.isRefused = true;
    deliverToAgent(pending.agent, pending.generation, refused);
}

void WorkSimulation::respondToPoll(const PendingCall &pending, const PollRuns &poll, MonotonicTime until)
{
    if (!workers_.at(static_cast<size_t>(pending.agent))) {
        refuseCall(pending);
        return;
    }
    WorkerModel &model = worker(pending.agent);
    model.advance(now_);
    if (model.hasEndsAfter(poll.acknowledgedEnd) || now_ >= until) {
        PollRuns immediatePoll = poll;
        immediatePoll.leaseEndMs.reset();
        replyToAgent(pending, model.call(immediatePoll, now_));
        return;
    }
    // Polls every millisecond, because a run that starts later may end before all current runs.
    actions_[{now_ + Milliseconds(1), ++lastActionId_}]
        = [this, pending, poll, until] { respondToPoll(pending, poll, until); };
}

void WorkSimulation::executeLateStart(int64_t id)
{
    const auto found = lateStarts_.extract(id);
    if (found.empty()) {
        return;
    }
    const LateStart &late = found.mapped();
    const auto &current = workers_.at(static_cast<size_t>(late.agent));
    const bool isSuccessor = current && current->identity().startTimeMs != late.receiverStartTimeMs;
    if (!current || (isSuccessor && !options_.lateOrdersReachSuccessors)) {
        return;
    }
    const size_t runs = current->history().size();
    executeStart(late.agent, late.call);
    if (isSuccessor && current->history().size() > runs) {
        unsentRuns_.push_back(UnsentRun{late.agent, late.call.key, current->identity().startTimeMs, now_});
    }
}

void WorkSimulation::recordSeenRuns(const PendingCall &pending, const WorkerReply &reply)
{
    const auto &node = agents_.at(static_cast<size_t>(pending.agent));
    if (!reply.listing || node.generation != pending.generation || node.isFrozen) {
        return;
    }
    for (UnsentRun &run : unsentRuns_) {
        const bool isListed = run.startTimeMs == reply.listing->startTimeMs
            && std::ranges::find(reply.listing->running, run.key) != reply.listing->running.end();
        run.seenAt = isListed ? std::min(run.seenAt, now_) : run.seenAt;
    }
}

void WorkSimulation::returnWorker(int agent, Milliseconds downtime)
{
    auto &current = workers_.at(static_cast<size_t>(agent));
    if (!current) {
        return;
    }
    const std::string id = current->identity().id;
    current->crash(now_);
    deadWorkers_.emplace_back(agent, std::move(current));
    schedule(downtime, [this, agent, id] {
        if (workers_.at(static_cast<size_t>(agent))) {
            return;
        }
        startWorker(agent, id);
        std::vector<int64_t> due;
        for (const auto &[number, late] : lateStarts_) {
            const bool isDue = late.agent == agent && std::bernoulli_distribution(ExecutedShare)(disruptionRandom_);
            if (isDue && due.size() < MaxStartsAtReturn) {
                due.push_back(number);
            }
        }
        std::ranges::for_each(due, [this](int64_t number) { executeLateStart(number); });
    });
}

WorkerModel &WorkSimulation::worker(int agent)
{
    return *workers_.at(static_cast<size_t>(agent));
}

void WorkSimulation::restartWorker(int agent, bool keepsId)
{
    auto &current = workers_.at(static_cast<size_t>(agent));
    std::string id = absl::StrCat("worker-", agent, "-", millisecondsBetween(MonotonicTime(), now_) + 1);
    if (current) {
        if (keepsId) {
            id = current->identity().id;
        }
        current->crash(now_);
        deadWorkers_.emplace_back(agent, std::move(current));
    }
    startWorker(agent, id);
}

void WorkSimulation::startWorker(int agent, const std::string &id)
{
    auto &current = workers_.at(static_cast<size_t>(agent));
    const int64_t startTimeMs = millisecondsBetween(MonotonicTime(), now_) + 1;
    current = std::make_unique<WorkerModel>(WorkerIdentity{id, startTimeMs}, agent % 2 == 0 ? 1.0 : 0.98, now_);
    current->runTimeFactor = 1 / options_.speedFactors.at(static_cast<size_t>(agent) % options_.speedFactors.size());
    announcementSequences_.at(static_cast<size_t>(agent)) = 0;
    schedule(Milliseconds(agent + 1), [this, agent, startTimeMs] {
        if (workers_.at(static_cast<size_t>(agent)) && worker(agent).identity().startTimeMs == startTimeMs) {
            announceWorker(agent);
        }
    });
}

void WorkSimulation::announceForeignWorker(int agent, bool usesId)
{
    WorkerAnnouncement announcement;
    announcement.identity = {"worker-of-another-writer", millisecondsBetween(MonotonicTime(), now_) + 1};
    if (const auto &current = workers_.at(static_cast<size_t>(agent)); usesId && current) {
        announcement.identity.id = current->identity().id;
    }
    announcement.service = "unknown";
    announcement.address = "10.1.0.1:9";
    announcement.domain = "domain-0";
    announcement.capacity = {capacityOf(agent), 100'000, 0};
    announcement.clockMs = std::numeric_limits<int64_t>::max();
    announcement.sequence = std::numeric_limits<int64_t>::max();
    deliverToAgent(agent, agents_.at(static_cast<size_t>(agent)).generation, announcement);
}

void WorkSimulation::announceWorker(int agent)
{
    const WorkerModel &model = worker(agent);
    WorkerAnnouncement announcement;
    announcement.identity = model.identity();
    announcement.service = ServiceName;
    announcement.address = "10.1.0.1:80";
    announcement.domain = absl::StrCat("domain-", agent % options_.domains);
    announcement.capacity = {capacityOf(agent), 100'000, 0};
    announcement.clockMs = model.clockMs(now_);
    announcement.sequence = ++announcementSequences_.at(static_cast<size_t>(agent));
    deliverToAgent(agent, agents_.at(static_cast<size_t>(agent)).generation, announcement);
    const int64_t startTimeMs = model.identity().startTimeMs;
    schedule(AnnouncementInterval, [this, agent, startTimeMs] {
        if (workers_.at(static_cast<size_t>(agent)) && worker(agent).identity().startTimeMs == startTimeMs) {
            announceWorker(agent);
        }
    });
}

} // namespace marjoramferry::testing
