#include "request/successor_candidate.h"

#include <utility>

namespace marjoramferry {

SuccessorCandidate::SuccessorCandidate(WorkerAnnouncement announcement, int64_t lastCallId, MonotonicTime now)
    : announcement_(std::move(announcement))
    , lastCallId_(lastCallId)
    , since_(now)
{
}

void SuccessorCandidate::update(const WorkerAnnouncement &announcement)
{
    if (announcement.sequence >= announcement_.sequence) {
        announcement_ = announcement;
    }
}

CandidateVerdict SuccessorCandidate::judge(const WorkerReply &reply, const WorkerIdentity &known) const
{
    const WorkerIdentity &candidate = announcement_.identity;
    if (candidate == known) {
        return CandidateVerdict::Confirmed; // A listing has shown its start time.
    }
    if (reply.callId <= lastCallId_) {
        return CandidateVerdict::Undecided;
    }
    if (reply.rejection == Rejection::OtherIncarnation) {
        // The process at the address has another name than the known one, so a candidate under that name is not there
        // either.
        return candidate.id == known.id ? CandidateVerdict::Refuted : CandidateVerdict::Confirmed;
    }
    if (reply.outcome != CallOutcome::Accepted || !reply.listing) {
        return CandidateVerdict::Undecided;
    }
    // A worker that lists no start time can't be told from its successor under the same name. An earlier start time is
    // taken for that of a process that has ended then.
    const int64_t listed = reply.listing->startTimeMs;
    const bool isListed = listed == 0 ? candidate.startTimeMs >= known.startTimeMs : candidate.startTimeMs == listed;
    const bool isCandidate = candidate.id == known.id && isListed;
    return isCandidate ? CandidateVerdict::Confirmed : CandidateVerdict::Refuted;
}

} // namespace marjoramferry
