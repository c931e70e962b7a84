#pragma once

#include "core/time.h"
#include "owner/agent_directory.h"
#include "owner/entry_command.h"
#include "owner/job_run.h"
#include "owner/unreachable_agents.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramferry {

/** Asks agents for the state of tasks that were sent to them. */
class TaskReconciler
{
public:
    TaskReconciler(const AgentDirectory &directory, UnreachableAgents &unreachable);

    /**
     * Asks the agents for the state of the job's tasks that are in @p phase, as of the start with number @p sequence.
     * The timeout of an agent that is not connected starts, unless it is running.
     */
    void requestStates(const JobRun &run, TaskPhase phase, int64_t sequence, MonotonicTime now, EntryOutbox &out);

    /** Asks a reconnected agent for the state of the job's tasks there, if there are any. */
    static void requestStatesFrom(const AgentView &agent, const JobRun &run, int64_t sequence, EntryOutbox &out);

private:
    const AgentDirectory &directory_;
    UnreachableAgents &unreachable_;
};

} // namespace marjoramferry
