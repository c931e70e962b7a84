#include "owner/start_adoption.h"

#include <algorithm>

namespace marjoramferry {

namespace {

void adoptStart(JobRun &run, TaskRun &task, const RecoveredStart &start)
{
    task.agent = start.agent;
    task.incarnation = start.incarnation;
    --run.waiting;
    switch (start.record.state) {
    case wire::StartState::RUNNING:
        task.phase = TaskPhase::Running;
        return;
    case wire::StartState::SUCCEEDED:
        task.phase = TaskPhase::Succeeded;
        task.output = start.record.output;
        task.outputDropped = start.record.outputDropped;
        --run.unfinished;
        return;
    case wire::StartState::FAILED:
        task.phase = TaskPhase::Failed;
        return;
    default:
        task.phase = TaskPhase::Uncertain;
        return;
    }
}

} // namespace

int adoptStarts(JobRun &run, const RecoveredJob &recovered)
{
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        const auto start = recovered.starts.find(run.job.tasks[index].taskId);
        if (start != recovered.starts.end()) {
            adoptStart(run, run.tasks[index], start->second);
        } else if (!recovered.hasAllRecords) {
            run.tasks[index].phase = TaskPhase::Uncertain;
            --run.waiting;
        }
    }
    return static_cast<int>(std::ranges::count(run.tasks, TaskPhase::Running, &TaskRun::phase));
}

} // namespace marjoramferry
