#include "standins/worker_model.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramferry {

namespace {

// Limits of the platform.
constexpr int64_t MaxLeaseMs = 1000; ///< A lease ends at most this long after the call that extends it.
constexpr Milliseconds StopDuration{50}; ///< A stopped run ends after this time at the latest.
constexpr Milliseconds CrashDelay{10}; ///< From the start of a task that crashes its worker to the crash.

struct RunSpec
{
    int runMs = 0;
    int cpuMillis = 0;
    int crashingTask = -1; ///< Index of the task that crashes its worker; -1 if none does.
};

RunSpec parseSpec(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    RunSpec spec;
    if (parts.size() < 2 || !absl::SimpleAtoi(parts[0], &spec.runMs) || !absl::SimpleAtoi(parts[1], &spec.cpuMillis)) {
        return RunSpec{};
    }
    if (parts.size() > 2 && !absl::SimpleAtoi(parts[2], &spec.crashingTask)) {
        return RunSpec{};
    }
    return spec;
}

RunKey taskKeyOf(RunKey key)
{
    key.attempt = 0;
    return key;
}

} // namespace

std::string makeSpec(int runMs, int cpuMillis, std::optional<int> crashingTask)
{
    const std::string spec = absl::StrCat(runMs, "/", cpuMillis);
    return crashingTask ? absl::StrCat(spec, "/", *crashingTask) : spec;
}

WorkerModel::WorkerModel(WorkerIdentity identity, double clockRate, MonotonicTime startTime)
    : identity_(std::move(identity))
    , clockRate_(clockRate)
    , startTime_(startTime)
{
}

int64_t WorkerModel::clockMs(MonotonicTime now) const
{
    return static_cast<int64_t>(static_cast<double>(millisecondsBetween(startTime_, now)) * clockRate_);
}

MonotonicTime WorkerModel::leaseEndTime() const
{
    return startTime_ + Milliseconds(static_cast<int64_t>(static_cast<double>(leaseEndMs_) / clockRate_) + 1);
}

WorkerReply WorkerModel::call(const WorkerCall &call, MonotonicTime now)
{
    advance(now);
    return std::visit(
        [&](const auto &each) {
            WorkerReply reply;
            reply.outcome = CallOutcome::Rejected;
            if (each.target.id != identity_.id) {
                reply.rejection = Rejection::OtherIncarnation;
            } else if (each.fence < fence_) {
                reply.rejection = Rejection::StaleFence;
            } else {
                fence_ = each.fence;
                reply = execute(each, now);
            }
            reply.callId = each.callId;
            reply.clockMs = clockMs(now);
            return reply;
        },
        call);
}

WorkerReply WorkerModel::execute(const StartRun &call, MonotonicTime now)
{
    WorkerReply reply;
    reply.outcome = CallOutcome::Rejected;
    if (activeRuns_.contains(call.key)) {
        reply.outcome = CallOutcome::Accepted;
        return reply;
    }
    if (call.leaseEndMs <= clockMs(now)) {
        reply.rejection = Rejection::LeaseExpired;
        return reply;
    }
    extendLease(call.leaseEndMs, now);
    if (lastAttempt_[taskKeyOf(call.key)] >= call.key.attempt) {
        reply.rejection = Rejection::OldAttempt;
        return reply;
    }
    const RunSpec spec = parseSpec(call.spec);
    ActiveRun run;
    run.historyIndex = history_.size();
    const Milliseconds runTime(failsNewRuns ? 1 : std::lround(spec.runMs * runTimeFactor));
    run.endTime = hangsNewRuns ? MonotonicTime::max() : now + runTime;
    run.cpuMillis = spec.cpuMillis;
    if (spec.crashingTask == call.key.task) {
        run.crashTime = now + CrashDelay;
        run.endTime = MonotonicTime::max();
    }
    run.kind = failsNewRuns ? EndKind::Failed : EndKind::Done;
    history_.push_back(RunInterval{call.key, identity_.id, now, MonotonicTime::max(), false});
    activeRuns_[call.key] = run;
    int totalCpuMillis = 0;
    for (const auto &[key, each] : activeRuns_) {
        totalCpuMillis += each.cpuMillis;
    }
    peakCpuMillis_ = std::max(peakCpuMillis_, totalCpuMillis);
    reply.outcome = CallOutcome::Accepted;
    return reply;
}

WorkerReply WorkerModel::execute(const StopRun &call, MonotonicTime now)
{
    WorkerReply reply;
    const auto found = activeRuns_.find(call.key);
    if (found != activeRuns_.end() && found->second.kind != EndKind::Stopped) {
        found->second.endTime = std::min(found->second.endTime, now + StopDuration);
        found->second.kind = EndKind::Stopped;
    }
    int64_t &last = lastAttempt_[taskKeyOf(call.key)];
    last = std::max(last, call.key.attempt);
    reply.outcome = CallOutcome::Accepted;
    return reply;
}

WorkerReply WorkerModel::execute(const PollRuns &call, MonotonicTime now)
{
    WorkerReply reply;
    if (call.leaseEndMs) {
        extendLease(*call.leaseEndMs, now);
    }
    std::erase_if(unacknowledgedEnds_, [&](const ListedEnd &end) { return end.number <= call.acknowledgedEnd; });
    RunListing listing;
    listing.startTimeMs = identity_.startTimeMs;
    listing.ended = unacknowledgedEnds_;
    for (const auto &[key, run] : activeRuns_) {
        listing.running.push_back(key);
    }
    reply.outcome = CallOutcome::Accepted;
    reply.listing = std::move(listing);
    return reply;
}

void WorkerModel::extendLease(int64_t leaseEndMs, MonotonicTime now)
{
    leaseEndMs_ = std::max(leaseEndMs_, std::min(leaseEndMs, clockMs(now) + MaxLeaseMs));
}

std::optional<MonotonicTime> WorkerModel::crashTime() const
{
    std::optional<MonotonicTime> first;
    for (const auto &[key, run] : activeRuns_) {
        if (run.crashTime && (!first || *run.crashTime < *first)) {
            first = run.crashTime;
        }
    }
    return first;
}

MonotonicTime WorkerModel::nextEndTime() const
{
    if (activeRuns_.empty()) {
        return MonotonicTime::max();
    }
    MonotonicTime next = leaseEndTime();
    for (const auto &[key, run] : activeRuns_) {
        next = std::min(next, run.endTime);
    }
    return next;
}

void WorkerModel::advance(MonotonicTime now)
{
    while (nextEndTime() <= now) {
        const MonotonicTime time = nextEndTime();
        std::vector<std::pair<RunKey, EndKind>> due;
        for (const auto &[key, run] : activeRuns_) {
            if (run.endTime <= time) {
                due.emplace_back(key, run.kind);
            } else if (leaseEndTime() <= time) {
                due.emplace_back(key, EndKind::LeaseExpired);
            }
        }
        for (const auto &[key, kind] : due) {
            endRun(key, kind, time);
        }
    }
}

void WorkerModel::endRun(const RunKey &key, EndKind kind, MonotonicTime time)
{
    RunInterval &interval = history_[activeRuns_.at(key).historyIndex];
    interval.to = time;
    interval.hasSucceeded = kind == EndKind::Done;
    activeRuns_.erase(key);
    int64_t &last = lastAttempt_[taskKeyOf(key)];
    last = std::max(last, key.attempt);
    unacknowledgedEnds_.push_back(ListedEnd{++lastEndNumber_, key, kind});
}

void WorkerModel::crash(MonotonicTime now)
{
    advance(now);
    while (!activeRuns_.empty()) {
        endRun(activeRuns_.begin()->first, EndKind::Broken, now);
    }
}

} // namespace marjoramferry
