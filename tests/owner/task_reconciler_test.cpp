#include "owner/task_reconciler.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr LinkId Link = 4;

/** A job with a task sent to agent-1, which is connected, one sent to agent-2, which is not, and one waiting. */
struct Fixture
{
    AgentDirectory directory{DirectoryTiming()};
    UnreachableAgents unreachable{Milliseconds(100)};
    TaskReconciler reconciler{directory, unreachable};
    EntryOutbox out;
    JobRun run;

    Fixture()
    {
        wire::Heartbeat heartbeat;
        heartbeat.agent = "agent-1";
        heartbeat.__set_info(wire::AgentInfo());
        directory.update(Link, heartbeat, Start);
        run.job.jobId = "job";
        run.job.tasks.resize(3);
        run.tasks.resize(3);
        for (int index = 0; index < 2; ++index) {
            run.job.tasks[static_cast<size_t>(index)].taskId = std::to_string(index);
            TaskRun &task = run.tasks[static_cast<size_t>(index)];
            task.phase = TaskPhase::Sent;
            task.agent = absl::StrCat("agent-", index + 1);
            task.incarnation = "first";
        }
    }

    wire::ResolveTasks takeRequest()
    {
        const std::vector<EntryCommand> commands = out.take();
        REQUIRE(commands.size() == 1);
        const auto &sent = std::get<SendToLink>(commands.front());
        CHECK(sent.link == Link);
        return std::get<wire::ResolveTasks>(sent.message);
    }
};

} // namespace

// Guards against a failing job that waits for an agent that is not asked, or never declared lost.
TEST_CASE("Connected agents are asked for their sent tasks, and the timeout of the others starts")
{
    Fixture fixture;
    fixture.reconciler.requestStates(fixture.run, TaskPhase::Sent, 9, Start, fixture.out);
    const wire::ResolveTasks request = fixture.takeRequest();
    CHECK(request.jobId == "job");
    CHECK(request.taskIds == std::vector<std::string>{"0"});
    CHECK(request.sequence == 9);
    CHECK(fixture.unreachable.takeLost(Start + Milliseconds(100)) == AgentIncarnation{"agent-2", "first"});
}

// Guards against questions on tasks in another phase.
TEST_CASE("Nobody is asked if no task is in the phase")
{
    Fixture fixture;
    fixture.reconciler.requestStates(fixture.run, TaskPhase::Running, 9, Start, fixture.out);
    CHECK(fixture.out.take().empty());
    CHECK_FALSE(fixture.unreachable.takeLost(Start + Milliseconds(100)));
}

// Guards against reports that are lost with the connection and never asked for again.
TEST_CASE("A reconnected agent is asked for its own tasks only")
{
    Fixture fixture;
    const AgentView agent = *fixture.directory.find("agent-1");
    TaskReconciler::requestStatesFrom(agent, fixture.run, 9, fixture.out);
    CHECK(fixture.takeRequest().taskIds == std::vector<std::string>{"0"});
    fixture.run.tasks[0].phase = TaskPhase::Succeeded;
    TaskReconciler::requestStatesFrom(agent, fixture.run, 9, fixture.out);
    CHECK(fixture.out.take().empty());
}
