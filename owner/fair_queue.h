#pragma once

#include "owner/job_run.h"
#include "version/catalog.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** A queue entry for a task that waits for placement. */
struct QueuedTask
{
    JobRunPtr run;
    int index = 0;

    /** False once the task was placed or its job ended; such stale entries are skipped. */
    bool isPending() const
    {
        return run->phase == JobPhase::Running && run->tasks[static_cast<size_t>(index)].phase == TaskPhase::Waiting;
    }
};

/**
 * Weighted fair queue between tenants for the waiting tasks of one service.
 *
 * Tenants are served in order of virtual time, which grows by 1/weight with each task. The entries of
 * a job that ends early are not removed at once, but skipped when they reach the head of the queue.
 */
class FairQueue
{
public:
    /** Appends the waiting tasks of the job to the queue of its tenant, longest expected run time first. */
    void add(const JobRunPtr &run);

    /** Returns a task that could not be placed to the front of its tenant's queue. */
    void pushFront(QueuedTask task);

    /**
     * Removes and returns the next task of a tenant for which @p canRun is true.
     * Weights come from @p catalog; a tenant without limits there has weight 1.
     */
    template<typename CanRun>
    std::optional<QueuedTask> pop(const Catalog &catalog, const CanRun &canRun)
    {
        std::string chosen;
        double lowestTime = 0;
        for (auto &[tenant, queue] : tenantQueues_) {
            queue.dropStaleTasks();
            const bool isEarlier = chosen.empty() || queue.virtualTime < lowestTime;
            if (!queue.tasks.empty() && isEarlier && canRun(tenant)) {
                chosen = tenant;
                lowestTime = queue.virtualTime;
            }
        }
        if (chosen.empty()) {
            dropEmptyQueues();
            return std::nullopt;
        }
        return popFrom(chosen, catalog);
    }

    bool empty() const
    {
        return tenantQueues_.empty();
    }

private:
    struct TenantQueue
    {
        std::deque<QueuedTask> tasks;
        double virtualTime = 0;

        void dropStaleTasks();
    };

    TenantQueue &tenantQueueOf(const std::string &tenant);
    QueuedTask popFrom(const std::string &tenant, const Catalog &catalog);
    void dropEmptyQueues();

    std::map<std::string, TenantQueue> tenantQueues_;
    double virtualNow_ = 0; ///< Virtual time of the last task removed.
};

} // namespace marjoramferry
