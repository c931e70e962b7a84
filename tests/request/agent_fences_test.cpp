#include "request/worker_directory.h"
#include "tests/support/supervisor_fixture.h"

#include <algorithm>
#include <limits>
#include <string>
#include <variant>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** An entry whose only agent reports its fence over a new link with each message. */
struct FenceReports
{
    WorkerDirectory directory{"entry", "entry-1", {}};
    LinkId lastLink = 0;
    MonotonicTime now = Start;
    int refusals = 0; ///< Log lines about a refused fence.

    /** A message of the incarnation, once the entry has not heard of the agent for @p silence. */
    void report(const std::string &incarnation, int64_t fence, Milliseconds silence = Milliseconds(5000))
    {
        now += silence;
        wire::AgentBatch batch;
        batch.agent = "agent";
        batch.incarnation = incarnation;
        batch.sentAtUs = std::chrono::duration_cast<Microseconds>(now.time_since_epoch()).count();
        batch.fence = fence;
        directory.handleBatch(++lastLink, batch, now);
    }

    /** The fence in the next message to the agent. */
    int64_t fenceSent()
    {
        int64_t fence = -1;
        directory.updateActivity(OperatorStateCache(), now);
        directory.sendBatches(OperatorStateCache(), false, false, now);
        for (WorkCommand &command : directory.takeCommands()) {
            if (const auto *message = std::get_if<SendToLink>(&command)) {
                fence = std::get<wire::EntryBatch>(message->message).fence;
            } else if (const auto *logged = std::get_if<LogEvent>(&command)) {
                refusals += logged->event == "fence_refused" ? 1 : 0;
            }
        }
        return fence;
    }
};

/** Number of the log lines of this event in the supervisor's output. */
int64_t countLogs(WorkerSupervisor &supervisor, const std::string &event)
{
    return std::ranges::count(supervisor.takeOutput().logs, event, &LogEvent::event);
}

} // namespace

// Guards against two runs of a task: an agent restarted with its clock set back, and did not know that late calls of
// its earlier process have the higher fence.
TEST_CASE("An agent is sent the highest fence of its other incarnations, and never its own")
{
    FenceReports entry;
    entry.report("first", 5000);
    CHECK(entry.fenceSent() == 0);
    entry.report("second", 10);
    CHECK(entry.fenceSent() == 5000);
    entry.report("second", 6000);
    CHECK(entry.fenceSent() == 5000);
    entry.report("third", 6000);
    CHECK(entry.fenceSent() == 6000);
    entry.report("second", 6001);
    CHECK(entry.fenceSent() == 6000);
    entry.report("fourth", 0);
    CHECK(entry.fenceSent() == 6001);
}

// Guards against the same when the last report of the earlier process arrives after the first one of its successor.
TEST_CASE("The fence of a message that is outdated counts")
{
    FenceReports entry;
    entry.report("second", 10);
    entry.report("first", 5000, Milliseconds(5));
    entry.report("second", 10, Milliseconds(5));
    CHECK(entry.fenceSent() == 5000);
}

// Guards against a corrupt report that hides all others, or that leaves the agents no higher fence.
TEST_CASE("An entry refuses an implausible fence, and logs it once")
{
    FenceReports entry;
    entry.report("first", 5000);
    const int64_t fence = GENERATE(MaxReportedFence + 1, std::numeric_limits<int64_t>::max());
    for (int i = 0; i < 3; ++i) {
        entry.report("second", fence);
    }
    entry.report("third", 10);
    CHECK(entry.fenceSent() == 5000);
    CHECK(entry.refusals == 1);
}

// Guards against two runs of a task: the agent took a restarted worker for cleared, and started runs on it, while a
// late start of the agent's earlier process could still reach it.
TEST_CASE("After the report of an earlier fence, nothing starts before the worker has accepted a higher one")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const int64_t earlier = GENERATE(as<int64_t>(), FirstFence, FirstFence + 1, MaxReportedFence);
    const PollRuns before = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.handleEarlierFence(earlier, Start + Milliseconds(2));
    CHECK(supervisor.fence() > earlier);
    CHECK_FALSE(supervisor.isReconciled());
    CHECK_FALSE(supervisor.freeCapacity().takesRuns);
    supervisor.requestRun(runRequest("b", 2), Start + Milliseconds(2));
    const OutputByKind asked(supervisor.takeOutput());
    CHECK(asked.starts.empty());
    REQUIRE(asked.polls.size() == 1);
    CHECK(asked.polls[0].fence == supervisor.fence());

    supervisor.handleReply(listed(before.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(3));
    CHECK_FALSE(supervisor.isReconciled());
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());

    supervisor.handleReply(listed(asked.polls[0].callId, {{"a", 0, 0, 1}}), Start + Milliseconds(4));
    CHECK(supervisor.isReconciled());
    const OutputByKind started(supervisor.takeOutput());
    CHECK(started.ends.empty());
    REQUIRE(started.starts.size() == 1);
    CHECK(started.starts[0].fence > earlier);
}

// Guards against a fence that rises with each message.
TEST_CASE("A report of an earlier fence raises the fence once, and the fence stays usable")
{
    ReconciledSupervisor fixture;
    const int64_t earlier = GENERATE(as<int64_t>(), FirstFence, MaxReportedFence);
    fixture.supervisor.handleEarlierFence(earlier, Start);
    const int64_t raised = fixture.supervisor.fence();
    for (int i = 0; i < 100; ++i) {
        fixture.supervisor.handleEarlierFence(earlier, Start + Milliseconds(i));
    }
    CHECK(fixture.supervisor.fence() == raised);
    CHECK(countLogs(fixture.supervisor, "fence_raised") == 1);
    CHECK(raised < int64_t{1} << 53); // JSON numbers are exact up to this.
}

// Guards against a fence that a corrupt message makes unusable, and against polls for reports that say nothing new.
TEST_CASE("A lower, missing or implausible fence changes nothing")
{
    ReconciledSupervisor fixture;
    const int64_t fence = GENERATE(std::numeric_limits<int64_t>::min(),
                                   int64_t{-1},
                                   int64_t{0},
                                   FirstFence - 1,
                                   MaxReportedFence + 1,
                                   std::numeric_limits<int64_t>::max());
    for (int i = 0; i < 3; ++i) {
        fixture.supervisor.handleEarlierFence(fence, Start);
    }
    CHECK(fixture.supervisor.fence() == FirstFence);
    CHECK(fixture.supervisor.isReconciled());
    const WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
    CHECK(output.calls.empty());
    CHECK(std::ranges::count(output.logs, "fence_refused", &LogEvent::event) == (fence > FirstFence ? 1 : 0));
}
