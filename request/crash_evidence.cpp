#include "request/crash_evidence.h"

#include <utility>

namespace marjoramferry {

void CrashEvidence::beginProcess(const WorkerIdentity &process, int64_t lastCallId)
{
    if (process == process_) {
        return;
    }
    *this = CrashEvidence();
    process_ = process;
    lastCallBeforeProcess_ = lastCallId;
}

void CrashEvidence::recordReply(const WorkerReply &reply, int64_t lastCallId, MonotonicTime now)
{
    const bool isAnswer = reply.outcome == CallOutcome::Accepted || reply.outcome == CallOutcome::Rejected;
    if (reply.rejection == Rejection::OtherIncarnation || (!isAnswer && reply.callId <= lastCallBeforeProcess_)) {
        return; // The reply tells nothing about this process.
    }
    if (isAnswer) {
        unansweredSince_.reset();
        hasRefused_ = false;
        return;
    }
    if (!unansweredSince_) {
        unansweredSince_ = now;
        lastCallBeforeFailure_ = lastCallId;
    }
    hasRefused_ = hasRefused_ || reply.isRefused;
}

std::optional<wire::CrashStatus::type> CrashEvidence::statusOnRefusal(const WorkerReply &reply) const
{
    if (!reply.isRefused || !hasRefused_ || wasRetracted_) {
        return std::nullopt;
    }
    return reply.callId > lastCallBeforeFailure_ ? wire::CrashStatus::DETECTED : wire::CrashStatus::SUSPECTED;
}

bool CrashEvidence::isDisprovedBy(const WorkerReply &reply) const
{
    // A worker that reports no start time can't be told from its successor.
    return reported_ && reply.listing && reply.callId > lastCallBeforeReport_ && process_.startTimeMs != 0
        && reply.listing->startTimeMs == process_.startTimeMs;
}

void CrashEvidence::recordReport(wire::CrashStatus::type status, MonotonicTime crashedAt, int64_t lastCallId)
{
    reported_ = status;
    reportedCrashAt_ = crashedAt;
    lastCallBeforeReport_ = lastCallId;
}

std::optional<MonotonicTime> CrashEvidence::retract()
{
    if (!std::exchange(reported_, std::nullopt)) {
        return std::nullopt;
    }
    wasRetracted_ = true;
    return reportedCrashAt_;
}

} // namespace marjoramferry
