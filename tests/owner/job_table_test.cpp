#include "core/shard.h"
#include "owner/job_table.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

JobRunPtr createJob(JobTable &jobs, const std::string &jobId)
{
    wire::SubmitJob message;
    message.job.jobId = jobId;
    message.job.tasks.resize(2);
    message.remainingMs = 1000;
    return jobs.create(message, Waiter{1, 2}, 3, Start);
}

} // namespace

// Guards against a run that counts too few tasks and is complete early.
TEST_CASE("A created job has all tasks waiting and is active in its shard")
{
    JobTable jobs;
    const JobRunPtr run = createJob(jobs, "a");
    CHECK(run->phase == JobPhase::Claiming);
    CHECK(run->waiting == 2);
    CHECK(run->unfinished == 2);
    CHECK(run->epoch == 3);
    CHECK(run->deadline == Start + Milliseconds(1000));
    CHECK(jobs.find("a") == run);
    CHECK(jobs.busyShards() == std::set<int>{shardOf("a")});
    CHECK(jobs.jobsOf(shardOf("a")) == std::vector<JobRunPtr>{run});
}

// Guards against a second run of a job that was answered, and against shards that never get idle.
TEST_CASE("An ended job is found but not active, until it is erased")
{
    JobTable jobs;
    const JobRunPtr run = createJob(jobs, "a");
    jobs.end(*run, Start + Milliseconds(5));
    CHECK(run->phase == JobPhase::Ended);
    CHECK(run->endedAt == Start + Milliseconds(5));
    CHECK(jobs.activeCount() == 0);
    CHECK(jobs.busyShards().empty());
    CHECK(jobs.find("a") == run);
    jobs.erase("a");
    CHECK(jobs.find("a") == nullptr);
}

// Guards against callers that wait beyond their deadline.
TEST_CASE("A job is overdue a margin before its deadline, or once its phase has timed out")
{
    JobTable jobs;
    const JobRunPtr run = createJob(jobs, "a");
    const Milliseconds margin(60);
    CHECK(jobs.overdueJobs(Start + Milliseconds(939), margin).empty());
    CHECK(jobs.overdueJobs(Start + Milliseconds(940), margin).size() == 1);
    run->phase = JobPhase::Resolving;
    run->phaseDeadline = Start + Milliseconds(100);
    CHECK(jobs.overdueJobs(Start + Milliseconds(99), margin).empty());
    CHECK(jobs.overdueJobs(Start + Milliseconds(100), margin).size() == 1);
    jobs.end(*run, Start);
    CHECK(jobs.overdueJobs(Start + Milliseconds(2000), margin).empty());
}
