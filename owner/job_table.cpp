#include "owner/job_table.h"

#include "core/shard.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace marjoramferry {

JobRunPtr JobTable::create(const wire::SubmitJob &message, const Waiter &waiter, int64_t epoch, MonotonicTime now)
{
    auto run = std::make_shared<JobRun>();
    run->job = message.job;
    run->shard = shardOf(message.job.jobId);
    run->epoch = epoch;
    run->tasks.resize(message.job.tasks.size());
    run->waiters.push_back(waiter);
    run->submittedAt = now;
    run->deadline = now + Milliseconds(message.remainingMs);
    run->unfinished = static_cast<int>(run->tasks.size());
    run->waiting = run->unfinished;
    jobs_[run->job.jobId] = run;
    active_[run->job.jobId] = run;
    return run;
}

JobRunPtr JobTable::find(const std::string &jobId) const
{
    const auto found = jobs_.find(jobId);
    return found == jobs_.end() ? nullptr : found->second;
}

void JobTable::end(JobRun &run, MonotonicTime now)
{
    run.phase = JobPhase::Ended;
    run.endedAt = now;
    active_.erase(run.job.jobId);
}

void JobTable::erase(const std::string &jobId)
{
    active_.erase(jobId);
    jobs_.erase(jobId);
}

std::vector<JobRunPtr> JobTable::jobsOf(int shard) const
{
    std::vector<JobRunPtr> jobs;
    std::ranges::copy_if(jobs_ | std::views::values, std::back_inserter(jobs), [&](const JobRunPtr &run) {
        return run->shard == shard;
    });
    return jobs;
}

std::set<int> JobTable::busyShards() const
{
    std::set<int> busy;
    for (const JobRunPtr &run : active_ | std::views::values) {
        busy.insert(run->shard);
    }
    return busy;
}

std::vector<JobRunPtr> JobTable::overdueJobs(MonotonicTime now, Milliseconds margin) const
{
    std::vector<JobRunPtr> overdue;
    std::ranges::copy_if(active_ | std::views::values, std::back_inserter(overdue), [&](const JobRunPtr &run) {
        const bool hasPhaseDeadline = run->phase == JobPhase::Resolving || run->phase == JobPhase::Recording;
        return hasPhaseDeadline ? now >= run->phaseDeadline : now >= run->deadline - margin;
    });
    return overdue;
}

} // namespace marjoramferry
