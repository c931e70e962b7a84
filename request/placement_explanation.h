#pragma once

#include "core/time.h"
#include "request/demand.h"
#include "request/worker_health.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** The question where a job would be placed now, and the answer. */
namespace marjoramferry {

/** A job with one step, of tasks that don't depend on each other. */
struct PlacementQuery
{
    std::string queue;
    int tasks = 0;
    Demand demand; ///< Of each task.
    Milliseconds estimate{0}; ///< The caller's estimate of the run time of one task.
    Milliseconds timeout{0}; ///< How long the caller waits; 0 if unspecified.

    bool operator==(const PlacementQuery &) const = default;
};

/** What speaks for and against one worker of the queue's service. */
struct WorkerPlacement
{
    std::string agent;
    std::string worker; ///< Empty if the agent has none at present.
    std::string domain;
    Demand available; ///< Free capacity, as far as the entry knows.
    Demand capacity;
    double slowdown = 1; ///< Run time relative to an average worker.
    HealthStatus health = HealthStatus::Healthy;
    Milliseconds stateAge{0}; ///< Time since the agent's last message.
    std::string reasonAgainst; ///< Empty if the worker can take a task.
    std::optional<double> score; ///< Of the first task; set if the worker can take it. The highest is selected.
    int selectedTasks = 0;

    bool operator==(const WorkerPlacement &) const = default;
};

struct PlacementExplanation
{
    std::string queue;
    std::string service;
    int priority = 0;
    bool isIsolated = false; ///< The queue uses workers of its own, as its tasks are taken to crash workers.
    std::string rejection; ///< The reason for which the job would be rejected on arrival; empty if it is admitted.
    bool isExpectedLate = false;
    Milliseconds expectedWait{0}; ///< Until the first task starts.
    Milliseconds expectedRunTime{0};
    size_t waitingJobs = 0; ///< Of all queues.
    std::vector<WorkerPlacement> workers; ///< Of the queue's service, by agent.

    bool operator==(const PlacementExplanation &) const = default;
};

struct ExplainPlacement
{
    uint64_t token = 0;
    PlacementQuery query;
};

struct PlacementExplained
{
    uint64_t token = 0;
    std::optional<PlacementExplanation> explanation; ///< Nothing if there is no such queue.
};

} // namespace marjoramferry
