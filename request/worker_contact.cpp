#include "request/worker_contact.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr Milliseconds FirstProbeDelay{100};
constexpr Milliseconds MaxProbeDelay{500};

} // namespace

WorkerContact::WorkerContact(uint64_t seed)
    : schedule_(FirstProbeDelay, MaxProbeDelay, seed)
{
}

void WorkerContact::reset()
{
    schedule_.reset();
    lastFailedCall_ = lastAnsweredCall_;
    forgetFailedPolls();
}

void WorkerContact::recordAnswer(int64_t callId)
{
    lastAnsweredCall_ = std::max(lastAnsweredCall_, callId);
    if (!isLost()) {
        schedule_.reset();
        forgetFailedPolls();
    }
}

void WorkerContact::recordFailedCall(int64_t callId, MonotonicTime now)
{
    const bool wasLost = isLost();
    lastFailedCall_ = std::max(lastFailedCall_, callId);
    if (!wasLost) {
        nextProbeAt_ = now;
    }
}

void WorkerContact::recordFailedPoll(const WorkerReply &reply, MonotonicTime now)
{
    if (reply.callId < lastAnsweredCall_) {
        return;
    }
    lastFailedCall_ = std::max(lastFailedCall_, reply.callId);
    wasUnanswered_ = reply.outcome == CallOutcome::Unresolved;
    hadNoConnection_ = reply.isRefused || reply.isBrokenOff;
    ++failedPolls_;
    nextProbeAt_ = now + schedule_.nextDelay();
}

void WorkerContact::forgetFailedPolls()
{
    wasUnanswered_ = false;
    hadNoConnection_ = false;
    failedPolls_ = 0;
}

} // namespace marjoramferry
