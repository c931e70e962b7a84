#include "owner/start_adoption.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

JobRun waitingRun(int tasks)
{
    JobRun run;
    for (int index = 0; index < tasks; ++index) {
        run.job.tasks.emplace_back();
        run.job.tasks.back().taskId = std::to_string(index);
    }
    run.tasks.resize(run.job.tasks.size());
    run.waiting = tasks;
    run.unfinished = tasks;
    return run;
}

RecoveredStart startIn(wire::StartState::type state)
{
    RecoveredStart start{"agent-1", "first", wire::StartRecord()};
    start.record.state = state;
    start.record.output = "x";
    return start;
}

} // namespace

// Guards against a second start of a task that an earlier owner started.
TEST_CASE("Only tasks without a start stay waiting if all records are known")
{
    JobRun run = waitingRun(4);
    RecoveredJob recovered;
    recovered.hasAllRecords = true;
    recovered.starts["0"] = startIn(wire::StartState::RUNNING);
    recovered.starts["1"] = startIn(wire::StartState::SUCCEEDED);
    recovered.starts["2"] = startIn(wire::StartState::FAILED);
    CHECK(adoptStarts(run, recovered) == 1);
    CHECK(run.tasks[0].phase == TaskPhase::Running);
    CHECK(run.tasks[0].agent == "agent-1");
    CHECK(run.tasks[0].incarnation == "first");
    CHECK(run.tasks[1].phase == TaskPhase::Succeeded);
    CHECK(run.tasks[1].output == "x");
    CHECK(run.tasks[2].phase == TaskPhase::Failed);
    CHECK(run.tasks[3].phase == TaskPhase::Waiting);
    CHECK(run.waiting == 1);
    CHECK(run.unfinished == 3);
}

// Guards against the start of a task whose record may be at an agent that has not answered.
TEST_CASE("A task without a record is uncertain if records are missing")
{
    JobRun run = waitingRun(1);
    CHECK(adoptStarts(run, RecoveredJob()) == 0);
    CHECK(run.tasks[0].phase == TaskPhase::Uncertain);
    CHECK(run.waiting == 0);
}
