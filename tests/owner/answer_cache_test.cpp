#include "owner/answer_cache.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

JobRunPtr endedRun(const std::string &jobId, int shard, size_t outputBytes, MonotonicTime endedAt)
{
    auto run = std::make_shared<JobRun>();
    run->job.jobId = jobId;
    run->shard = shard;
    run->phase = JobPhase::Ended;
    run->endedAt = endedAt;
    run->answer.kind = wire::AnswerKind::COMPLETE;
    run->answer.tasks.emplace_back();
    run->answer.tasks.back().output = std::string(outputBytes, 'x');
    return run;
}

} // namespace

TEST_CASE("Above the size limit, the outputs of the oldest complete answer are evicted")
{
    AnswerCache cache(Milliseconds(1000), 10'000);
    const auto first = endedRun("a", 1, 6000, Start);
    const auto second = endedRun("b", 1, 6000, Start);
    cache.add(first);
    CHECK_FALSE(first->outputsDropped);
    cache.add(second);
    CHECK(first->outputsDropped);
    CHECK_FALSE(second->outputsDropped);
}

TEST_CASE("Ended jobs expire after the retention time and free their share of the size limit")
{
    AnswerCache cache(Milliseconds(1000), 10'000);
    cache.add(endedRun("a", 1, 6000, Start));
    CHECK(cache.expire(Start + Milliseconds(1000)).empty());
    CHECK(cache.expire(Start + Milliseconds(1001)) == std::vector<std::string>{"a"});
    const auto next = endedRun("b", 1, 6000, Start + Milliseconds(2000));
    cache.add(next);
    CHECK_FALSE(next->outputsDropped);
}

TEST_CASE("Removing a shard removes its ended jobs and frees their share of the size limit")
{
    AnswerCache cache(Milliseconds(1000), 10'000);
    cache.add(endedRun("a", 1, 6000, Start));
    cache.removeShard(1);
    CHECK(cache.expire(Start + Milliseconds(5000)).empty());
    const auto next = endedRun("b", 2, 6000, Start);
    cache.add(next);
    CHECK_FALSE(next->outputsDropped);
}
