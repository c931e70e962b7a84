#include "owner/task_reconciler.h"

#include <map>
#include <utility>

namespace marjoramferry {

namespace {

void sendResolveTasks(
    const AgentView &agent, const JobRun &run, std::vector<std::string> taskIds, int64_t sequence, EntryOutbox &out)
{
    wire::ResolveTasks message;
    message.jobId = run.job.jobId;
    message.taskIds = std::move(taskIds);
    message.shard = run.shard;
    message.epoch = run.epoch;
    message.sequence = sequence;
    out.add(SendToLink{agent.link, std::move(message)});
}

} // namespace

TaskReconciler::TaskReconciler(const AgentDirectory &directory, UnreachableAgents &unreachable)
    : directory_(directory)
    , unreachable_(unreachable)
{
}

void TaskReconciler::requestStates(
    const JobRun &run, TaskPhase phase, int64_t sequence, MonotonicTime now, EntryOutbox &out)
{
    std::map<std::string, std::vector<std::string>> byAgent;
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        const TaskRun &task = run.tasks[index];
        if (task.phase != phase) {
            continue;
        }
        byAgent[task.agent].push_back(run.job.tasks[index].taskId);
        if (directory_.find(task.agent) == nullptr) {
            // Asked when it reconnects; otherwise declared lost after the timeout.
            unreachable_.addIfAbsent(AgentIncarnation{task.agent, task.incarnation}, now);
        }
    }
    for (auto &[name, taskIds] : byAgent) {
        if (const AgentView *agent = directory_.find(name)) {
            sendResolveTasks(*agent, run, std::move(taskIds), sequence, out);
        }
    }
}

void TaskReconciler::requestStatesFrom(const AgentView &agent, const JobRun &run, int64_t sequence, EntryOutbox &out)
{
    std::vector<std::string> taskIds;
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        if (run.tasks[index].occupiesSlot() && run.tasks[index].agent == agent.name) {
            taskIds.push_back(run.job.tasks[index].taskId);
        }
    }
    if (!taskIds.empty()) {
        sendResolveTasks(agent, run, std::move(taskIds), sequence, out);
    }
}

} // namespace marjoramferry
