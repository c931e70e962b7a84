#pragma once

#include "owner/agent_directory.h"
#include "owner/entry_command.h"
#include "owner/fair_queue.h"
#include "owner/job_run.h"
#include "owner/placement.h"
#include "owner/task_counts.h"
#include "version/cluster_state_tracker.h"

#include <map>
#include <string>

namespace marjoramferry {

/** Provides the maximum number of running tasks of a tenant at this owner. */
class QuotaSource
{
public:
    virtual ~QuotaSource() = default;
    virtual int runningLimit(const std::string &tenant) const = 0;
};

/** Queues the tasks of running jobs, places them on agents and counts tasks by tenant and service. */
class Dispatcher
{
public:
    Dispatcher(const ClusterStateTracker &clusterState,
               AgentDirectory &directory,
               PlacementPolicy placement,
               const QuotaSource &quotas);

    /** Queues the waiting tasks of a job that enters phase Running. */
    void enqueue(const JobRunPtr &run);

    /** Subtracts a job's waiting tasks from the counts; its queue entries are skipped later. */
    void withdraw(const JobRun &run);

    /** Queues a task again that an agent refused; it must be in phase Waiting. */
    void requeue(const JobRunPtr &run, int index);

    /** Counts a running task that an earlier owner started. */
    void countAdopted(const JobRun &run);

    /** Subtracts a task that left the phases Sent and Running. */
    void countFinished(const JobRun &run);

    /** Sends waiting tasks to agents with free slots. */
    void dispatch(MonotonicTime now, EntryOutbox &out);

    TaskCounts tenantCounts(const std::string &tenant) const
    {
        return tenantCounts_.of(tenant);
    }

    TaskCounts serviceCounts(const std::string &service) const
    {
        return serviceCounts_.of(service);
    }

    /** Sequence number of the last StartTasks message. */
    int64_t sequence() const
    {
        return sequence_;
    }

private:
    struct Batch
    {
        LinkId link = LocalLink;
        wire::StartTasks message;
    };

    struct BatchKey
    {
        std::string agent;
        std::string jobId;

        auto operator<=>(const BatchKey &) const = default;
    };

    using Batches = std::map<BatchKey, Batch>;

    void count(const wire::Job &job, const TaskCounts &change);
    void dispatchService(const std::string &service, FairQueue &queue, MonotonicTime now, Batches &batches);
    void assign(const QueuedTask &task, const AgentView &agent, MonotonicTime now, Batches &batches);

    const ClusterStateTracker &clusterState_;
    AgentDirectory &directory_;
    PlacementPolicy placement_;
    const QuotaSource &quotas_;
    std::map<std::string, FairQueue> queues_; ///< By service.
    TaskCountsByName tenantCounts_;
    TaskCountsByName serviceCounts_;
    int64_t sequence_ = 0;
};

} // namespace marjoramferry
