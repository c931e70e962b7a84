#include "request/answer_cache.h"

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

TEST_CASE("Complete answers beyond the bound lose their outputs, oldest first")
{
    AnswerCache memory(Milliseconds(1000), 10'000);
    const auto first = endedRun("a", 1, 6000, Start);
    const auto second = endedRun("b", 1, 6000, Start);
    memory.add(first);
    CHECK_FALSE(first->answerDropped);
    memory.add(second);
    CHECK(first->answerDropped);
    CHECK_FALSE(second->answerDropped);
}

TEST_CASE("Ended jobs are forgotten after their time, and room is made by those that go")
{
    AnswerCache memory(Milliseconds(1000), 10'000);
    memory.add(endedRun("a", 1, 6000, Start));
    CHECK(memory.expire(Start + Milliseconds(1000)).empty());
    CHECK(memory.expire(Start + Milliseconds(1001)) == std::vector<std::string>{"a"});
    const auto next = endedRun("b", 1, 6000, Start + Milliseconds(2000));
    memory.add(next);
    CHECK_FALSE(next->answerDropped);
}

TEST_CASE("A shard that is given away takes its ended jobs along")
{
    AnswerCache memory(Milliseconds(1000), 10'000);
    memory.add(endedRun("a", 1, 6000, Start));
    memory.removeShard(1);
    CHECK(memory.expire(Start + Milliseconds(5000)).empty());
    const auto next = endedRun("b", 2, 6000, Start);
    memory.add(next);
    CHECK_FALSE(next->answerDropped);
}
