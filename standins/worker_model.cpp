#include "standins/worker_model.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramferry {

namespace {

/** The platform's bounds for leases and stops. */
constexpr int64_t LongestLeaseMs = 1000;
constexpr Milliseconds StopTime{50};

struct Spec
{
    int runMs = 0;
    int cpuMillis = 0;
};

Spec readSpec(const std::string &text)
{
    const std::pair<std::string, std::string> parts = absl::StrSplit(text, absl::MaxSplits('/', 1));
    Spec spec;
    if (!absl::SimpleAtoi(parts.first, &spec.runMs) || !absl::SimpleAtoi(parts.second, &spec.cpuMillis)) {
        return Spec{};
    }
    return spec;
}

RunKey taskOf(RunKey key)
{
    key.attempt = 0;
    return key;
}

} // namespace

std::string makeSpec(int runMs, int cpuMillis)
{
    return absl::StrCat(runMs, "/", cpuMillis);
}

WorkerModel::WorkerModel(WorkerIdentity identity, double clockRate, MonotonicTime bornAt)
    : identity_(std::move(identity))
    , clockRate_(clockRate)
    , bornAt_(bornAt)
{
}

int64_t WorkerModel::clockMs(MonotonicTime now) const
{
    return static_cast<int64_t>(static_cast<double>(millisecondsBetween(bornAt_, now)) * clockRate_);
}

MonotonicTime WorkerModel::leaseEnd() const
{
    return bornAt_ + Milliseconds(static_cast<int64_t>(static_cast<double>(leaseEndMs_) / clockRate_) + 1);
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
                reply = carryOut(each, now);
            }
            reply.callId = each.callId;
            reply.clockMs = clockMs(now);
            return reply;
        },
        call);
}

WorkerReply WorkerModel::carryOut(const StartRun &call, MonotonicTime now)
{
    WorkerReply reply;
    reply.outcome = CallOutcome::Rejected;
    if (running_.contains(call.key)) {
        reply.outcome = CallOutcome::Accepted;
        return reply;
    }
    if (call.leaseEndMs <= clockMs(now)) {
        reply.rejection = Rejection::LeaseExpired;
        return reply;
    }
    extend(call.leaseEndMs, now);
    if (lastAttempt_[taskOf(call.key)] >= call.key.attempt) {
        reply.rejection = Rejection::OldAttempt;
        return reply;
    }
    const Spec spec = readSpec(call.spec);
    Running run;
    run.interval = history_.size();
    const Milliseconds runTime(isFailing ? 1 : std::lround(spec.runMs * runTimeFactor));
    run.endsAt = hangsNewRuns ? MonotonicTime::max() : now + runTime;
    run.cpuMillis = spec.cpuMillis;
    run.kind = isFailing ? EndKind::Failed : EndKind::Done;
    history_.push_back(RunInterval{call.key, identity_.id, now, MonotonicTime::max(), false});
    running_[call.key] = run;
    int sum = 0;
    for (const auto &[key, each] : running_) {
        sum += each.cpuMillis;
    }
    peakCpuMillis_ = std::max(peakCpuMillis_, sum);
    reply.outcome = CallOutcome::Accepted;
    return reply;
}

WorkerReply WorkerModel::carryOut(const StopRun &call, MonotonicTime now)
{
    WorkerReply reply;
    const auto found = running_.find(call.key);
    if (found != running_.end() && found->second.kind != EndKind::Stopped) {
        found->second.endsAt = std::min(found->second.endsAt, now + StopTime);
        found->second.kind = EndKind::Stopped;
    }
    int64_t &last = lastAttempt_[taskOf(call.key)];
    last = std::max(last, call.key.attempt);
    reply.outcome = CallOutcome::Accepted;
    return reply;
}

WorkerReply WorkerModel::carryOut(const PollRuns &call, MonotonicTime now)
{
    WorkerReply reply;
    if (call.leaseEndMs) {
        extend(*call.leaseEndMs, now);
    }
    std::erase_if(ended_, [&](const ListedEnd &end) { return end.number <= call.acknowledgedEnd; });
    RunListing listing;
    listing.startTimeMs = identity_.startTimeMs;
    listing.ended = ended_;
    for (const auto &[key, run] : running_) {
        listing.running.push_back(key);
    }
    reply.outcome = CallOutcome::Accepted;
    reply.listing = std::move(listing);
    return reply;
}

void WorkerModel::extend(int64_t leaseEndMs, MonotonicTime now)
{
    leaseEndMs_ = std::max(leaseEndMs_, std::min(leaseEndMs, clockMs(now) + LongestLeaseMs));
}

MonotonicTime WorkerModel::nextEnd() const
{
    if (running_.empty()) {
        return MonotonicTime::max();
    }
    MonotonicTime next = leaseEnd();
    for (const auto &[key, run] : running_) {
        next = std::min(next, run.endsAt);
    }
    return next;
}

void WorkerModel::advance(MonotonicTime now)
{
    while (nextEnd() <= now) {
        const MonotonicTime at = nextEnd();
        std::vector<std::pair<RunKey, EndKind>> due;
        for (const auto &[key, run] : running_) {
            if (run.endsAt <= at) {
                due.emplace_back(key, run.kind);
            } else if (leaseEnd() <= at) {
                due.emplace_back(key, EndKind::LeaseExpired);
            }
        }
        for (const auto &[key, kind] : due) {
            end(key, kind, at);
        }
    }
}

void WorkerModel::end(const RunKey &key, EndKind kind, MonotonicTime at)
{
    RunInterval &interval = history_[running_.at(key).interval];
    interval.to = at;
    interval.hasSucceeded = kind == EndKind::Done;
    running_.erase(key);
    int64_t &last = lastAttempt_[taskOf(key)];
    last = std::max(last, key.attempt);
    ended_.push_back(ListedEnd{++lastEnd_, key, kind});
}

void WorkerModel::crash(MonotonicTime now)
{
    advance(now);
    while (!running_.empty()) {
        end(running_.begin()->first, EndKind::Broken, now);
    }
}

} // namespace marjoramferry
