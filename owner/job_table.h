#pragma once

#include "core/time.h"
#include "owner/job_run.h"

#include <absl/container/btree_map.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

/** The jobs of an owner by id: those that have not ended, and the ended ones until they are erased. */
class JobTable
{
public:
    /** Creates the run of a submitted job with all tasks waiting; its phase is Claiming. */
    JobRunPtr create(const wire::SubmitJob &message, const Waiter &waiter, int64_t epoch, MonotonicTime now);

    /** Returns the job, or nullptr. */
    JobRunPtr find(const std::string &jobId) const;

    /** Marks a job as ended; it is found until it is erased. */
    void end(JobRun &run, MonotonicTime now);

    /** Erases a job, whether or not it has ended. */
    void erase(const std::string &jobId);

    std::vector<JobRunPtr> jobsOf(int shard) const;

    /** The shards that have jobs that have not ended. */
    std::set<int> busyShards() const;

    /** The jobs of which the phase has timed out or the deadline is less than @p margin away. */
    std::vector<JobRunPtr> overdueJobs(MonotonicTime now, Milliseconds margin) const;

    /** All jobs, by id. */
    const absl::btree_map<std::string, JobRunPtr> &all() const
    {
        return jobs_;
    }

    /** Number of jobs that have not ended. */
    size_t activeCount() const
    {
        return active_.size();
    }

private:
    absl::btree_map<std::string, JobRunPtr> jobs_; ///< By job id; ended ones too.
    std::map<std::string, JobRunPtr> active_; ///< Jobs that have not ended, by job id.
};

} // namespace marjoramferry
