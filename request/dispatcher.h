#pragma once

#include "request/agent_directory.h"
#include "request/entry_command.h"
#include "request/fair_queue.h"
#include "request/job_run.h"
#include "request/placement.h"
#include "version/cluster_state_tracker.h"

#include <map>
#include <string>

namespace marjoramferry {

/** Counts of a tenant's or a service's tasks at this owner. */
struct TaskCounts
{
    int queued = 0;
    int running = 0; ///< Sent or running.
};

/** Tells how many tasks of a tenant may run at this owner. */
class QuotaSource
{
public:
    virtual ~QuotaSource() = default;
    virtual int mayRun(const std::string &tenant) const = 0;
};

/** Queues the tasks of running jobs, places them on agents and counts what runs for whom. */
class Dispatcher
{
public:
    Dispatcher(const ClusterStateTracker &keeper,
               AgentDirectory &directory,
               Placement placement,
               const QuotaSource &quotas);

    /** Queues the waiting tasks of a job that begins to run. */
    void enqueue(const JobRunPtr &run);

    /** Takes a job's waiting tasks out of the counts; its queue entries are passed over later. */
    void withdraw(const JobRun &run);

    /** Puts a task that was refused back into the queue; it is in phase Waiting again. */
    void requeue(const JobRunPtr &run, int index);

    /** Counts a task of an earlier owner that still runs. */
    void noteAdopted(const JobRun &run);

    /** A task left the phases Sent and Running. */
    void noteFinished(const JobRun &run);

    /** Sends waiting tasks to free slots. */
    void dispatch(MonotonicTime now, EntryOutbox &out);

    const TaskCounts &tenantCounts(const std::string &tenant)
    {
        return tenants_[tenant];
    }

    const TaskCounts &serviceCounts(const std::string &service)
    {
        return services_[service];
    }

    /** The sequence of the last message that asked for starts. */
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

    void dispatchService(const std::string &service, FairQueue &queue, MonotonicTime now, Batches &batches);
    void assign(const QueuedTask &task, const AgentView &agent, MonotonicTime now, Batches &batches);

    const ClusterStateTracker &keeper_;
    AgentDirectory &directory_;
    Placement placement_;
    const QuotaSource &quotas_;
    std::map<std::string, FairQueue> queues_; ///< By service.
    std::map<std::string, TaskCounts> tenants_;
    std::map<std::string, TaskCounts> services_;
    int64_t sequence_ = 0;
};

} // namespace marjoramferry
