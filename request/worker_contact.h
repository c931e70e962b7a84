#pragma once

#include "core/retry_schedule.h"
#include "core/time.h"
#include "request/worker_protocol.h"

#include <cstdint>

namespace marjoramferry {

/**
 * Whether the worker accepts calls, as far as its replies show, and when to ask it again if it does not.
 *
 * Nothing but a reply can end the belief that the worker is away, so as long as it lasts, probes are due: at once after
 * a start that failed, and later with growing delays. Replies arrive out of order; that to the newest call counts.
 */
class WorkerContact
{
public:
    explicit WorkerContact(uint64_t seed);

    /** Begins anew with another process of the worker. */
    void reset();

    void recordAnswer(int64_t callId);

    /** Records a start or stop that failed. */
    void recordFailedCall(int64_t callId, MonotonicTime now);

    /** Records a poll that failed. */
    void recordFailedPoll(const WorkerReply &reply, MonotonicTime now);

    /** Whether a call has failed, and no newer one was accepted since. */
    bool isLost() const
    {
        return lastFailedCall_ > lastAnsweredCall_;
    }

    /** The newest call that failed. A call sent before it is no probe. */
    int64_t lastFailedCall() const
    {
        return lastFailedCall_;
    }

    /** When to send a poll that asks a lost worker. */
    MonotonicTime nextProbeAt() const
    {
        return nextProbeAt_;
    }

    /**
     * Whether a probe is cheap and may soon be answered: no process keeps connections, as while a worker restarts, or
     * the contact has just been lost.
     */
    bool isRestartLikely() const
    {
        return isLost() && (hadNoConnection_ || failedPolls_ <= 1);
    }

    /** Whether the connections that are open may be dead. */
    bool needsNewConnection() const
    {
        return isLost() && wasUnanswered_;
    }

private:
    void forgetFailedPolls();

    RetrySchedule schedule_;
    int64_t lastAnsweredCall_ = 0;
    int64_t lastFailedCall_ = 0;
    MonotonicTime nextProbeAt_;
    bool wasUnanswered_ = false; ///< The last poll had no reply at all.
    bool hadNoConnection_ = false; ///< The connection for the last poll was refused or has ended.
    int failedPolls_ = 0; ///< Since the last answer.
};

} // namespace marjoramferry
