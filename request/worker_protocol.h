#pragma once

#include "core/time.h"
#include "request/demand.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What an agent hears from and asks of a worker that runs many tasks at once, in terms of the product. */
namespace marjoramferry {

/** One life of a worker. */
struct WorkerIdentity
{
    std::string id;
    int64_t startTimeMs = 0; ///< Unix milliseconds of its start; 0 if it doesn't tell.

    auto operator<=>(const WorkerIdentity &) const = default;
};

/** What a worker says of itself at a fixed pace. */
struct WorkerAnnouncement
{
    WorkerIdentity identity;
    std::string service;
    std::string address; ///< host:port where it takes calls.
    std::string domain;
    std::vector<std::string> labels;
    Demand capacity;
    bool leaving = false;
    int64_t clockMs = 0; ///< The worker's own steady clock.
    int64_t sequence = 0; ///< Grows with each announcement, so that a late one can be told.

    bool operator==(const WorkerAnnouncement &) const = default;
};

/** The worker says that it ends now. */
struct WorkerDeparture
{
    std::string id;
};

/** One start of one task. */
struct RunKey
{
    std::string jobId;
    int step = 0;
    int task = 0;
    int64_t attempt = 0;

    auto operator<=>(const RunKey &) const = default;

    bool isSameTask(const RunKey &other) const
    {
        return jobId == other.jobId && step == other.step && task == other.task;
    }
};

/** Where a call goes, and which life of the worker it is meant for. */
struct WorkerTarget
{
    std::string address;
    std::string id;

    bool operator==(const WorkerTarget &) const = default;
};

struct StartRun
{
    int64_t callId = 0;
    WorkerTarget target;
    RunKey key;
    std::string spec;
    int64_t leaseEndMs = 0; ///< On the worker's clock; everything on it ends then, unless extended.
    int64_t fence = 0;
    MonotonicTime notAfter; ///< The call doesn't go out later than this.
    Milliseconds timeout{0};
};

struct StopRun
{
    int64_t callId = 0;
    WorkerTarget target;
    RunKey key;
    int64_t fence = 0;
    Milliseconds timeout{0};
};

/** Extends the lease, acknowledges ends, and asks what runs and what ended. */
struct PollRuns
{
    int64_t callId = 0;
    WorkerTarget target;
    std::optional<int64_t> leaseEndMs;
    int64_t fence = 0;
    int64_t acknowledgedEnd = 0; ///< The worker forgets ends up to this number.
    Milliseconds wait{0}; ///< The worker answers at the next end, at the latest after this.
    Milliseconds timeout{0};
};

using WorkerCall = std::variant<StartRun, StopRun, PollRuns>;

enum class CallOutcome {
    Accepted,
    Rejected, ///< The worker did nothing; see the reason.
    NotSent,
    Unresolved, ///< No answer: it may have been carried out, or may yet.
};

enum class Rejection {
    None,
    StaleFence, ///< The worker has seen a higher fence.
    OldAttempt, ///< The attempt is not above one that ended there.
    LeaseExpired, ///< The lease end is past on the worker's clock.
    NoRoom,
    OtherIncarnation, ///< The worker of that address is not the one meant.
    Unhealthy, ///< The worker takes nothing at present.
    Malformed,
};

enum class EndKind { Done, Failed, Stopped, LeaseExpired, Broken };

struct ListedEnd
{
    int64_t number = 0;
    RunKey key;
    EndKind kind = EndKind::Failed;
};

/** What a worker lists: runs that are there, and ends not yet acknowledged. */
struct RunListing
{
    int64_t startTimeMs = 0;
    std::vector<RunKey> running;
    std::vector<ListedEnd> ended;
};

/** The answer to any call. */
struct WorkerReply
{
    int64_t callId = 0;
    CallOutcome outcome = CallOutcome::Unresolved;
    Rejection rejection = Rejection::None;
    std::optional<int64_t> clockMs;
    std::optional<RunListing> listing; ///< Of an accepted PollRuns.
    std::string problem; ///< For the log.
};

/** Why a call was rejected, in a word for logs and reports. */
const char *rejectionName(Rejection rejection);

} // namespace marjoramferry
