#pragma once

#include "core/time.h"
#include "owner/entry_command.h"

#include <messages_types.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace marjoramferry {

/** State of a task of an owned job. */
enum class TaskPhase {
    Waiting, ///< At no agent; known not to have started.
    Sent, ///< Sent to an agent that has not reported on it yet.
    Running, ///< Reported as running by its agent.
    Succeeded,
    Failed,
    Uncertain, ///< May have run; the outcome can no longer be determined.
};

struct TaskRun
{
    TaskPhase phase = TaskPhase::Waiting;
    std::string agent;
    std::string incarnation; ///< Incarnation of the agent.
    int64_t sequence = 0; ///< Sequence number of the StartTasks message.
    MonotonicTime sentAt;
    std::string output;
    bool outputDropped = false;

    bool occupiesSlot() const
    {
        return phase == TaskPhase::Sent || phase == TaskPhase::Running;
    }
};

enum class JobPhase {
    Claiming, ///< The claim is not committed; no task has been sent by this owner.
    Running,
    Resolving, ///< Failing; waiting for the state of sent tasks.
    Recording, ///< Failing; waiting for the commit of the failure record.
    Ended,
};

/** The request to which an answer is sent. */
struct Waiter
{
    LinkId link = LocalLink;
    int64_t requestId = 0;
};

/** A job at its owner, from submission until its answer expires. */
struct JobRun
{
    wire::Job job;
    int shard = 0;
    int64_t epoch = 0;
    JobPhase phase = JobPhase::Claiming;
    std::vector<TaskRun> tasks;
    std::vector<Waiter> waiters;
    MonotonicTime submittedAt;
    MonotonicTime deadline;
    MonotonicTime phaseDeadline; ///< When the wait in Resolving or Recording times out.
    MonotonicTime endedAt;
    int unfinished = 0; ///< Number of tasks not in Succeeded.
    int waiting = 0; ///< Number of tasks in Waiting.
    bool outputsDropped = false; ///< The job completed and its outputs were evicted.
    wire::JobAnswer answer; ///< The answer to send or already sent; set from Resolving on.

    bool hasTaskIn(TaskPhase phase) const
    {
        return std::ranges::any_of(tasks, [&](const TaskRun &task) { return task.phase == phase; });
    }

    bool hasNoStartedTask() const
    {
        return std::ranges::all_of(tasks, [](const TaskRun &task) { return task.phase == TaskPhase::Waiting; });
    }

    /** The index of a task, or -1. */
    int indexOf(const std::string &taskId) const
    {
        const auto found = std::ranges::find(job.tasks, taskId, &wire::Task::taskId);
        return found == job.tasks.end() ? -1 : static_cast<int>(found - job.tasks.begin());
    }
};

using JobRunPtr = std::shared_ptr<JobRun>;

} // namespace marjoramferry
