#pragma once

#include "core/time.h"
#include "request/entry_command.h"

#include <messages_types.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace marjoramferry {

/** Where a task of an owned job stands. */
enum class TaskPhase {
    Waiting, ///< Not sent; proven not started.
    Sent, ///< Sent to an agent that has not reported yet.
    Running, ///< Its agent said that it runs.
    Succeeded,
    Failed,
    Uncertain, ///< It may have run, and nobody can tell any more.
};

struct TaskRun
{
    TaskPhase phase = TaskPhase::Waiting;
    std::string agent;
    std::string incarnation; ///< Of that agent.
    int64_t sequence = 0; ///< Of the message that sent it.
    MonotonicTime sentAt;
    std::string output;
    bool outputDropped = false;

    bool occupiesSlot() const
    {
        return phase == TaskPhase::Sent || phase == TaskPhase::Running;
    }
};

enum class JobPhase {
    Claiming, ///< Its claim is not committed; nothing has started.
    Running,
    Ending, ///< It will fail; the state of sent tasks is being asked for.
    Recording, ///< Its failure is being written down.
    Ended,
};

/** Who waits for an answer, and under which request. */
struct Waiter
{
    LinkId link = LocalLink;
    int64_t requestId = 0;
};

/** One job at its owner, from submission until its answer is forgotten. */
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
    MonotonicTime giveUpAt; ///< When Ending or Recording stops waiting.
    MonotonicTime endedAt;
    int unfinished = 0; ///< Tasks not Succeeded.
    int waiting = 0; ///< Tasks in Waiting.
    bool answerDropped = false; ///< The job completed and its outputs are no longer held.
    wire::JobAnswer answer; ///< In Ending and after: what will be or was answered.

    bool hasTaskIn(TaskPhase phase) const
    {
        return std::ranges::any_of(tasks, [&](const TaskRun &task) { return task.phase == phase; });
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
