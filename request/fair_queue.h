#pragma once

#include "request/job_run.h"
#include "version/catalog.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** A task that waits to be placed. */
struct QueuedTask
{
    JobRunPtr run;
    int index = 0;

    /** False once the task was cancelled, answered for or placed; such an entry is passed over. */
    bool isLive() const
    {
        return run->phase == JobPhase::Running && run->tasks[static_cast<size_t>(index)].phase == TaskPhase::Waiting;
    }
};

/**
 * The waiting tasks of one service, shared out between tenants by weight.
 *
 * Tenants are served in order of virtual time, which goes up by 1/weight with each task. A job that
 * ends early costs nothing here: its entries are passed over when they come up.
 */
class FairQueue
{
public:
    /** Adds the waiting tasks of the job behind those of its tenant, longest first. */
    void add(const JobRunPtr &run);

    /** Puts back a task that could not be placed, before all others of its tenant. */
    void putBack(QueuedTask task);

    /**
     * Takes the next task of a tenant for which @p mayRun is true.
     * Weights come from @p catalog; a tenant without limits there has weight 1.
     */
    template<typename MayRun>
    std::optional<QueuedTask> pop(const Catalog &catalog, const MayRun &mayRun)
    {
        std::string chosen;
        double least = 0;
        for (auto &[tenant, lane] : lanes_) {
            lane.dropDead();
            const bool isBetter = chosen.empty() || lane.virtualTime < least;
            if (!lane.tasks.empty() && isBetter && mayRun(tenant)) {
                chosen = tenant;
                least = lane.virtualTime;
            }
        }
        if (chosen.empty()) {
            dropEmptyLanes();
            return std::nullopt;
        }
        return takeFrom(chosen, catalog);
    }

    bool empty() const
    {
        return lanes_.empty();
    }

private:
    struct Lane
    {
        std::deque<QueuedTask> tasks;
        double virtualTime = 0;

        void dropDead();
    };

    Lane &laneOf(const std::string &tenant);
    QueuedTask takeFrom(const std::string &tenant, const Catalog &catalog);
    void dropEmptyLanes();

    std::map<std::string, Lane> lanes_;
    double now_ = 0; ///< Virtual time of the last task taken.
};

} // namespace marjoramferry
