#pragma once

#include "core/time.h"
#include "request/demand.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** Jobs whose tasks share workers, as callers hand them in and get them answered. */
namespace marjoramferry {

/** Tasks of one kind that may run once the steps before them have ended. */
struct WorkStep
{
    int count = 0;
    Demand demand; ///< Of each task.
    Milliseconds estimate{0}; ///< The caller's guess of one task's run time.
    std::vector<int> dependencies; ///< Indices of the steps that must have ended.
    std::string requiredLabel; ///< Only workers with this label; empty for any.
    std::string preferredLabel; ///< Workers with this label run the tasks faster; empty for none.
    int maxPerWorker = 0; ///< 0 for no bound.

    bool operator==(const WorkStep &) const = default;
};

struct WorkJob
{
    std::string spec; ///< Handed to the worker with each task; only the worker reads it.
    std::vector<WorkStep> steps;
    std::string unsupportedFeature; ///< Names what the job asks for that is not served; empty if there is nothing.

    bool operator==(const WorkJob &) const = default;
};

/** Where a call was sent: the queue is the longest route that fits, the rest of the path names the job. */
struct CallAddress
{
    uint64_t token = 0; ///< Names the call until it is answered.
    std::string host;
    std::string path;
    std::string requestId; ///< The caller's name of the call, for the logs.
};

struct SubmitWork
{
    CallAddress address;
    Milliseconds timeout{0}; ///< How long the caller waits; 0 if it does not say.
    WorkJob job;
};

struct QueryWork
{
    CallAddress address;
};

struct CancelWork
{
    CallAddress address;
};

/** The caller of an unanswered call has gone. */
struct CallAbandoned
{
    uint64_t token = 0;
};

enum class ResponseStatus {
    Complete,
    Failed,
    Active, ///< The job is known and has not ended.
    Cancelled, ///< The cancelling was taken.
    Pending, ///< The count of jobs that wait in the queue is in `pending`.
    Rejected, ///< Nothing of the job ran or will run; come back later.
    NotReady, ///< No configuration is known here yet; nothing ran.
    Unsupported, ///< The job asks for something that is not served; nothing ran.
    UnknownQueue,
    UnknownJob,
    Malformed,
    Interrupted, ///< What ran was stopped; the same job may be sent again.
};

/** The answer in a word, for logs and metrics. */
const char *answerName(ResponseStatus answer);

struct CallResponse
{
    uint64_t token = 0;
    ResponseStatus status = ResponseStatus::Rejected;
    Milliseconds retryAfter{0};
    int pendingJobs = 0;
    std::string errorMessage{}; ///< What was wrong, for the caller.
    bool closesConnection = false; ///< The connection is not to be used again.
};

} // namespace marjoramferry
