#include "request/worker_claim.h"

#include <utility>

namespace marjoramferry {

WorkerClaim::WorkerClaim(WorkerAnnouncement announcement, int64_t lastCallId, MonotonicTime now)
    : announcement_(std::move(announcement))
    , lastCallId_(lastCallId)
    , since_(now)
{
}

void WorkerClaim::update(const WorkerAnnouncement &announcement)
{
    if (announcement.sequence >= announcement_.sequence) {
        announcement_ = announcement;
    }
}

ClaimVerdict WorkerClaim::judge(const WorkerReply &reply, const WorkerIdentity &known) const
{
    if (reply.callId <= lastCallId_) {
        return ClaimVerdict::Undecided;
    }
    const WorkerIdentity &claimed = announcement_.identity;
    if (reply.rejection == Rejection::OtherIncarnation) {
        // The process at the address has another name than the known one, so a claim under that name is wrong too.
        return claimed.id == known.id ? ClaimVerdict::Refuted : ClaimVerdict::Confirmed;
    }
    if (reply.outcome != CallOutcome::Accepted || !reply.listing) {
        return ClaimVerdict::Undecided;
    }
    // A worker that lists no start time can't be told from its successor under the same name.
    const bool isClaimed = claimed == known || (claimed.id == known.id && reply.listing->startTimeMs == 0);
    return isClaimed ? ClaimVerdict::Confirmed : ClaimVerdict::Refuted;
}

} // namespace marjoramferry
