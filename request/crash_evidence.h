#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <messages_types.h>

#include <cstdint>
#include <optional>

namespace marjoramferry {

/**
 * Judges from the replies to calls whether a worker's process has crashed, and keeps what was reported of it.
 *
 * A refused connection may come from a fault of the network. It makes a crash suspected, or detected if a call sent
 * before has gone unanswered. An answer of the same process to a later call disproves either; from then on, refused
 * connections are evidence only together with an expired lease, so that a flapping link causes few reports.
 */
class CrashEvidence
{
public:
    /** Discards the evidence, unless it is about the same process. @p lastCallId is that of the last call sent. */
    void beginProcess(const WorkerIdentity &process, int64_t lastCallId);

    /** Records a reply of the process, or that a call to it had none. */
    void recordReply(const WorkerReply &reply, int64_t lastCallId, MonotonicTime now);

    /** What refused connections alone make likely. */
    std::optional<wire::CrashStatus::type> statusOnRefusal(const WorkerReply &reply) const;

    /** Whether the process has refused a connection since its last answer. */
    bool hasRefused() const
    {
        return hasRefused_;
    }

    /** Whether the reply is of the reported process, to a call sent after the report. */
    bool isDisprovedBy(const WorkerReply &reply) const;

    /** Whether a report with this status says more than the last one. */
    bool isNews(wire::CrashStatus::type status) const
    {
        return !reported_ || (*reported_ == wire::CrashStatus::SUSPECTED && status == wire::CrashStatus::DETECTED);
    }

    /** Whether the crash of the process is reported as detected. */
    bool isDetected() const
    {
        return reported_ == wire::CrashStatus::DETECTED;
    }

    /** When the process crashed, if it did: when the first call after its last answer ended without one. */
    MonotonicTime crashTime(MonotonicTime now) const
    {
        return unansweredSince_.value_or(now);
    }

    void recordReport(wire::CrashStatus::type status, MonotonicTime crashedAt, int64_t lastCallId);

    /** Takes back the report. Returns the reported time of the crash, if there was a report. */
    std::optional<MonotonicTime> retract();

private:
    WorkerIdentity process_;
    std::optional<MonotonicTime> unansweredSince_;
    int64_t lastCallBeforeProcess_ = 0; ///< Later calls can only have been refused by this process.
    int64_t lastCallBeforeFailure_ = 0; ///< The last call sent before unansweredSince_.
    bool hasRefused_ = false;
    bool wasRetracted_ = false;
    std::optional<wire::CrashStatus::type> reported_;
    MonotonicTime reportedCrashAt_;
    int64_t lastCallBeforeReport_ = 0;
};

} // namespace marjoramferry
