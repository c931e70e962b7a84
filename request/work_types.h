#pragma once

#include "core/time.h"
#include "request/demand.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/** Calls on jobs whose tasks share workers, and the responses to them. */
namespace marjoramferry {

/** Tasks of one kind, which may run once the steps they depend on are done. */
struct WorkStep
{
    int count = 0;
    Demand demand; ///< Of each task.
    Milliseconds estimate{0}; ///< The caller's estimate of the run time of one task.
    std::vector<int> dependencies; ///< Indices of the steps that must be done before.
    std::string requiredLabel; ///< Tasks run only on workers with this label; empty for any worker.
    std::string preferredLabel; ///< Tasks run faster on workers with this label; empty for no preference.
    int maxPerWorker = 0; ///< Maximum number of tasks on one worker; 0 for no limit.

    bool operator==(const WorkStep &) const = default;
};

/** Length of the critical path through the steps, given the expected run time of each. */
Milliseconds criticalPathLength(const std::vector<WorkStep> &steps,
                                const std::function<Milliseconds(const WorkStep &)> &runTimeOf);

struct WorkJob
{
    std::string spec; ///< Passed to the worker with each task; interpreted only by the worker.
    std::vector<WorkStep> steps;
    std::string unsupportedFeature; ///< The requested feature that is not supported; empty if all are.

    bool operator==(const WorkJob &) const = default;
};

/** The memory that the job takes at most until it ends, with the orders for its tasks. */
size_t estimateMemoryBytes(const WorkJob &job);

/**
 * Target of a call. The route with the longest matching path prefix selects the queue, and the rest of the path is
 * the job ID.
 */
struct CallAddress
{
    uint64_t token = 0; ///< Identifies the call until its response is sent.
    std::string host;
    std::string path;
    std::string requestId; ///< Chosen by the caller; for the logs.
    MonotonicTime connectedAt{}; ///< When the caller's connection was accepted.
};

struct SubmitWork
{
    CallAddress address;
    Milliseconds timeout{0}; ///< How long the caller waits; 0 if unspecified.
    WorkJob job;
};

/** Queries the state of a job or, without a job ID, the number of pending jobs of the queue. */
struct QueryWork
{
    CallAddress address;
};

struct CancelWork
{
    CallAddress address;
};

/** The caller disconnected before the response was sent. */
struct CallAbandoned
{
    uint64_t token = 0;
};

enum class ResponseStatus {
    Complete,
    Failed,
    Active, ///< The job exists and is not finished.
    Cancelled, ///< The job was cancelled.
    Pending, ///< Reports the number of pending jobs of the queue.
    Rejected, ///< No task of the job was or will be run; the caller may retry later.
    NotReady, ///< The entry has no configuration yet; no task was run.
    Unsupported, ///< The job requests a feature that is not supported; no task was run.
    UnknownQueue,
    UnknownJob,
    Malformed,
    Interrupted, ///< The running tasks were stopped; the job may be submitted again.
};

/** Name of the status in logs and metrics. */
const char *responseStatusName(ResponseStatus status);

struct CallResponse
{
    uint64_t token = 0;
    ResponseStatus status = ResponseStatus::Rejected;
    Milliseconds retryAfter{0};
    int pendingJobs = 0; ///< Set for ResponseStatus::Pending.
    std::string errorMessage{}; ///< Reason for the status, for the caller.
    bool closesConnection = false; ///< Whether the server closes the connection after the response.
};

} // namespace marjoramferry
