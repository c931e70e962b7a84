#include "tests/support/work_simulation.h"

#include <absl/strings/str_cat.h>

namespace marjoramferry::testing {

namespace {

/** The platform's time from a broken connection to the next send of the job. */
constexpr Milliseconds ResubmitDelay{1300};
constexpr int MaxResends = 3; ///< Of a job whose caller's deadline is renewed with each send.
/** TCP's time until the first retransmission of what a peer has not acknowledged; it doubles with each one. */
constexpr Milliseconds FirstRetransmission{200};

} // namespace

void WorkSimulation::submit(const SimulatedJob &job, int entry, Milliseconds timeout)
{
    sendCall(Submission{job, entry, timeout, now_ + timeout});
}

bool WorkSimulation::isWaiting(uint64_t token) const
{
    const CallRecord &record = calls_.at(token - 1);
    return !record.response && !record.isConnectionLost && !record.isAbandoned;
}

void WorkSimulation::sendCall(const Submission &submission)
{
    if (now_ >= submission.deadlineAt) {
        return;
    }
    const SimulatedJob &job = submission.job;
    calls_.push_back(CallRecord{job, now_, MonotonicTime(), std::nullopt, false, false});
    submissions_.push_back(submission);
    const uint64_t token = calls_.size();
    SubmitWork call;
    call.address = CallAddress{token, HostName, absl::StrCat("/", job.queue, "/", job.id), absl::StrCat("r-", token)};
    call.timeout = Milliseconds(millisecondsBetween(now_, submission.deadlineAt));
    WorkStep step;
    step.count = job.tasks;
    step.demand = {job.cpuMillis, 64, 0};
    step.estimate = Milliseconds(job.estimateMs);
    call.job.steps = {step};
    call.job.spec = makeSpec(job.runMs, job.cpuMillis, job.crashingTask);
    const auto &node = entries_.at(static_cast<size_t>(submission.entry));
    call.address.connectedAt = node.clock.read(now_);
    if (!node.core) {
        calls_.back().isConnectionLost = true;
        resend(token);
        return;
    }
    if (node.isSuspended) {
        actions_[{retransmittedArrival(node, now_), ++lastActionId_}]
            = [this, call, entry = submission.entry, generation = node.generation] {
                  deliverToEntry(entry, generation, call);
              };
    } else {
        deliverToEntry(submission.entry, node.generation, call);
    }
    actions_[{submission.deadlineAt, ++lastActionId_}] = [this, token] {
        if (!isWaiting(token)) {
            return;
        }
        calls_.at(token - 1).isAbandoned = true;
        endCallerConnection(token);
        if (options_.callersReturn) {
            resend(token);
        }
    };
}

void WorkSimulation::resend(uint64_t token)
{
    Submission next = submissions_.at(token - 1);
    next.entry = (next.entry + 1) % options_.entries;
    if (options_.callersReturn) {
        if (++next.resends > MaxResends) {
            return;
        }
        std::uniform_int_distribution<int> entries(0, options_.entries - 1);
        next.entry = entries(random_);
        next.deadlineAt = now_ + ResubmitDelay + next.timeout;
    }
    schedule(ResubmitDelay, [this, next] { sendCall(next); });
}

/** The entry learns that the caller has left in the pass after the end of the connection has arrived. */
void WorkSimulation::endCallerConnection(uint64_t token)
{
    const auto entry = static_cast<size_t>(submissions_.at(token - 1).entry);
    const Milliseconds delay = callerEndDelay(entry);
    if (delay == Milliseconds(0)) {
        entries_.at(entry).closedCalls.push_back(token);
        return;
    }
    schedule(delay, [this, entry, token, generation = entries_.at(entry).generation] {
        if (entries_.at(entry).generation == generation) {
            entries_.at(entry).closedCalls.push_back(token);
        }
    });
}

/** From the end of a caller's connection, now, to its arrival at the entry. */
Milliseconds WorkSimulation::callerEndDelay(size_t entry)
{
    const auto &node = entries_.at(entry);
    if (node.isSuspended) {
        Milliseconds delay = FirstRetransmission;
        for (Milliseconds pause = 2 * FirstRetransmission; now_ + delay < node.frozenUntil; pause *= 2) {
            delay += pause;
        }
        return delay;
    }
    if (options_.maxCallerEndDelay == Milliseconds(0)) {
        return Milliseconds(0);
    }
    std::uniform_int_distribution<int64_t> delay(options_.minCallerEndDelay.count(),
                                                 options_.maxCallerEndDelay.count());
    return Milliseconds(delay(disruptionRandom_));
}

void WorkSimulation::onResponse(const CallResponse &response)
{
    if (!isWaiting(response.token)) {
        return;
    }
    CallRecord &record = calls_.at(response.token - 1);
    record.response = response;
    record.respondedAt = now_;
    if (response.status == ResponseStatus::Interrupted) {
        resend(response.token);
    }
}

void WorkSimulation::resetCallers(int entry, double share)
{
    for (uint64_t token = 1; token <= calls_.size(); ++token) {
        if (submissions_.at(token - 1).entry == entry && isWaiting(token) && drawBool(share)) {
            calls_.at(token - 1).isConnectionLost = true;
            endCallerConnection(token);
            resend(token);
        }
    }
}

void WorkSimulation::giveUpCalls(int entry, double share)
{
    for (uint64_t token = 1; token <= calls_.size(); ++token) {
        if (submissions_.at(token - 1).entry == entry && isWaiting(token) && drawBool(share)) {
            calls_.at(token - 1).isAbandoned = true;
            endCallerConnection(token);
        }
    }
}

} // namespace marjoramferry::testing
