#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <cstdint>

namespace marjoramferry {

/** What a reply of the known process of a worker says about the announcement of a successor. */
enum class CandidateVerdict {
    Undecided,
    Confirmed, ///< The successor has answered, or the known process is no longer at its address.
    Refuted, ///< The known process has answered.
};

/**
 * The announcement of another process than the one that an agent knows beside it. Any writer can send one, so it is
 * no evidence that the known process has ended: only what answers at the address of that process is.
 */
class SuccessorCandidate
{
public:
    /** @p lastCallId is that of the last call sent before the announcement. */
    SuccessorCandidate(WorkerAnnouncement announcement, int64_t lastCallId, MonotonicTime now);

    const WorkerAnnouncement &announcement() const
    {
        return announcement_;
    }

    /** When the process was first announced. */
    MonotonicTime since() const
    {
        return since_;
    }

    /** Keeps what a later announcement of the same process says. */
    void update(const WorkerAnnouncement &announcement);

    /** @p known is the process that the call was sent to, as of this reply. */
    CandidateVerdict judge(const WorkerReply &reply, const WorkerIdentity &known) const;

private:
    WorkerAnnouncement announcement_;
    int64_t lastCallId_; ///< Answers to this call and earlier ones may be older than the announcement.
    MonotonicTime since_;
};

} // namespace marjoramferry
