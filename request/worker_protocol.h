#pragma once

#include "core/time.h"
#include "request/demand.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Messages and calls between an agent and a worker that runs many tasks at once, independent of their encoding. */
namespace marjoramferry {

/** Identifies one process of a worker. */
struct WorkerIdentity
{
    std::string id;
    int64_t startTimeMs = 0; ///< Start time in Unix milliseconds; 0 if the worker does not report it.

    auto operator<=>(const WorkerIdentity &) const = default;
};

/** Sent by a worker at a fixed interval. */
struct WorkerAnnouncement
{
    WorkerIdentity identity;
    std::string service;
    std::string address; ///< host:port at which it accepts calls.
    std::string domain;
    std::vector<std::string> labels;
    Demand capacity;
    bool leaving = false;
    int64_t clockMs = 0; ///< The worker's monotonic clock.
    int64_t sequence = 0; ///< Increases with each announcement, so that a delayed one can be detected.

    bool operator==(const WorkerAnnouncement &) const = default;
};

/** Sent by a worker that is about to exit. */
struct WorkerDeparture
{
    std::string id;
};

/** Identifies one attempt to run a task. */
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

/** Identifies an entry's order of a run. An entry that abandons all its runs starts a new session. */
struct RunOrderId
{
    std::string entryIncarnation;
    int64_t session = 0;
    int64_t runNumber = 0;

    auto operator<=>(const RunOrderId &) const = default;
};

/** Address of a call, and the worker it is meant for. */
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
    int64_t leaseEndMs = 0; ///< On the worker's clock. All its runs end then, unless the lease is extended.
    int64_t fence = 0;
    MonotonicTime notAfter; ///< The call is not sent after this: the order that it carries out no longer counts.
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

/** Long poll that extends the lease, acknowledges ended runs, and lists the running and ended ones. */
struct PollRuns
{
    int64_t callId = 0;
    WorkerTarget target;
    std::optional<int64_t> leaseEndMs;
    int64_t fence = 0;
    int64_t acknowledgedEnd = 0; ///< The worker drops ends up to this number.
    Milliseconds wait{0}; ///< The worker answers at the next end, at the latest after this time.
    Milliseconds timeout{0};
    bool usesNewConnection = false; ///< Sent over a connection of its own, as the open ones may be dead.
};

using WorkerCall = std::variant<StartRun, StopRun, PollRuns>;

enum class CallOutcome {
    Accepted,
    Rejected, ///< The call had no effect; see the rejection.
    NotSent,
    Unresolved, ///< No answer: the call may have been executed, or may still be.
};

enum class Rejection {
    None,
    StaleFence, ///< The worker has seen a higher fence.
    OldAttempt, ///< The attempt number is not higher than that of a run that ended there.
    LeaseExpired, ///< The requested lease end has passed on the worker's clock.
    InsufficientCapacity,
    OtherIncarnation, ///< Another worker is at that address.
    Unhealthy, ///< The worker accepts no calls at present.
    Malformed,
};

enum class EndKind { Done, Failed, Stopped, LeaseExpired, Broken };

struct ListedEnd
{
    int64_t number = 0;
    RunKey key;
    EndKind kind = EndKind::Failed;
};

/** The runs on a worker, and the ends that were not acknowledged yet. */
struct RunListing
{
    int64_t startTimeMs = 0;
    std::vector<RunKey> running;
    std::vector<ListedEnd> ended;
    bool isComplete = true; ///< Whether all rows could be read. Otherwise a run that is not listed may be running.
};

/** The answer to any call. */
struct WorkerReply
{
    int64_t callId = 0;
    CallOutcome outcome = CallOutcome::Unresolved;
    Rejection rejection = Rejection::None;
    std::optional<int64_t> clockMs;
    std::optional<RunListing> listing; ///< Set if a PollRuns call was accepted.
    std::string errorMessage; ///< Used in logs only.
    bool isRefused = false; ///< No process accepts connections at the worker's address.
    bool isBrokenOff = false; ///< The connection has ended without an answer.
};

/** The name of a rejection in logs and in the reasons of ended runs. */
const char *rejectionName(Rejection rejection);

/** The task and attempt of a run, as log lines name them. */
std::string describe(const RunKey &key);

} // namespace marjoramferry
