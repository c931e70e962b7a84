#include "owner/job_answer.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

JobRun runInPhases(const std::vector<TaskPhase> &phases)
{
    JobRun run;
    run.job.jobId = "job";
    for (const TaskPhase phase : phases) {
        run.job.tasks.emplace_back();
        run.job.tasks.back().taskId = std::to_string(run.tasks.size());
        run.tasks.emplace_back();
        run.tasks.back().phase = phase;
    }
    return run;
}

std::vector<wire::Ran::type> ranStatesOf(const std::vector<wire::TaskResult> &results)
{
    std::vector<wire::Ran::type> states;
    std::ranges::transform(results, std::back_inserter(states), [](const wire::TaskResult &each) { return each.ran; });
    return states;
}

} // namespace

// Guards against "not run" for a task that an agent may have started.
TEST_CASE("Only a waiting task is answered as not run, and a sent one as unknown")
{
    const JobRun run = runInPhases({TaskPhase::Waiting,
                                    TaskPhase::Sent,
                                    TaskPhase::Running,
                                    TaskPhase::Succeeded,
                                    TaskPhase::Failed,
                                    TaskPhase::Uncertain});
    const std::vector<wire::Ran::type> expected{
        wire::Ran::NO, wire::Ran::UNKNOWN, wire::Ran::YES, wire::Ran::YES, wire::Ran::YES, wire::Ran::UNKNOWN};
    CHECK(ranStatesOf(makeTaskResults(run)) == expected);
}

// Guards against "not run" from an owner that may have been replaced.
TEST_CASE("Without the lease, not run becomes unknown and run stays")
{
    wire::JobAnswer answer;
    answer.tasks = makeTaskResults(runInPhases({TaskPhase::Waiting, TaskPhase::Succeeded}));
    markNotRunAsUnknown(answer);
    CHECK(ranStatesOf(answer.tasks) == std::vector<wire::Ran::type>{wire::Ran::UNKNOWN, wire::Ran::YES});
}

// Guards against outputs that are lost or swapped between tasks.
TEST_CASE("The answer of a complete job has the output of each task")
{
    JobRun run = runInPhases({TaskPhase::Succeeded, TaskPhase::Succeeded});
    run.tasks[0].output = "x";
    run.tasks[1].output = "y";
    const wire::JobAnswer answer = makeCompleteAnswer(run);
    CHECK(answer.kind == wire::AnswerKind::COMPLETE);
    REQUIRE(answer.tasks.size() == 2);
    CHECK(answer.tasks[0].output == "x");
    CHECK(answer.tasks[1].taskId == "1");
    CHECK(answer.tasks[1].output == "y");
}

// Guards against statements on tasks of another body under the same id.
TEST_CASE("The answer to another body under a known id states nothing on its tasks")
{
    const wire::JobAnswer answer = makeConflictAnswer(runInPhases({TaskPhase::Waiting}).job);
    CHECK(answer.errorKind == "other_body");
    CHECK(answer.tasks.empty());
}
