#include "tests/support/supervisor_fixture.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** A request that an entry has placed by the state of @p worker. */
RunRequest requestFor(const WorkerIdentity &worker, int64_t runNumber, int cpuMillis = 6000)
{
    RunRequest request = runRequest("job-" + std::to_string(runNumber), runNumber, cpuMillis);
    request.worker = worker;
    request.startDeadline = Start + Milliseconds(2000);
    return request;
}

/** Answers all polls of @p output and those that follow, with a listing of a process without runs. */
OutputByKind answerPolls(WorkerSupervisor &supervisor, OutputByKind output, int64_t startTimeMs, MonotonicTime now)
{
    OutputByKind all(WorkerSupervisor::Output{});
    for (int round = 0; round < 3; ++round) {
        for (const PollRuns &poll : output.polls) {
            supervisor.handleReply(listed(poll.callId, {}, {}, startTimeMs), now);
        }
        WorkerSupervisor::Output next = supervisor.takeOutput();
        CHECK(next.crashes.empty());
        output = OutputByKind(std::move(next));
        std::ranges::copy(output.starts, std::back_inserter(all.starts));
        std::ranges::copy(output.ends, std::back_inserter(all.ends));
    }
    return all;
}

} // namespace

// Guards against a task on a worker of the wrong kind: it was placed by the labels of the former worker, and started on
// its successor.
TEST_CASE("An order that was placed for another process than the present worker is returned as not started")
{
    ReconciledSupervisor fixture;
    const WorkerIdentity other
        = GENERATE(WorkerIdentity{"worker-2", 7}, WorkerIdentity{"worker-1", 6}, WorkerIdentity{"worker-1", 8});
    fixture.supervisor.requestRun(requestFor(other, 1), Start);
    WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
    CHECK(output.crashes.empty());
    const OutputByKind calls(std::move(output));
    CHECK(calls.starts.empty());
    REQUIRE(calls.ends.size() == 1);
    CHECK(calls.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
    CHECK(calls.ends[0].reason == "other_worker");
}

// Guards against orders that are returned for ever: older entries name no worker, and not every worker reports its
// start time.
TEST_CASE("An order that names no worker, or one without a start time, is started")
{
    ReconciledSupervisor fixture;
    const WorkerIdentity named
        = GENERATE(WorkerIdentity{}, WorkerIdentity{"worker-1", 0}, WorkerIdentity{"worker-1", 7});
    fixture.supervisor.requestRun(requestFor(named, 1), Start);
    CHECK(OutputByKind(fixture.supervisor.takeOutput()).starts.size() == 1);
}

// Guards against a task on a worker of the wrong kind: its order waited at the agent while the worker restarted.
TEST_CASE("An order that waits while the worker restarts is returned and not started on the new process")
{
    ReconciledSupervisor fixture(Start - Milliseconds(1100));
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(requestFor({"worker-1", 7}, 1, 12'000), Start);
    supervisor.requestRun(requestFor({"worker-1", 7}, 2), Start + Milliseconds(2));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Milliseconds(10));
    const OutputByKind after
        = answerPolls(supervisor, OutputByKind(supervisor.takeOutput()), 8, Start + Milliseconds(11));
    REQUIRE(supervisor.isReconciled());
    fixture.proveEntryAlive(Start + Milliseconds(1200));
    supervisor.tick(Start + Milliseconds(1200));
    CHECK(after.starts.empty());
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
}

// Guards against the same while a start is repeated: after a refusal, or without an answer.
TEST_CASE("A start that was sent before the worker restarted is not sent again to the new process")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const WorkerReply answer = GENERATE(unanswered(0), rejected(0, Rejection::StaleFence));
    const OutputByKind sent = fixture.start(requestFor({"worker-1", 7}, 1), Start);
    REQUIRE_FALSE(sent.polls.empty());
    supervisor.handleReply(listed(sent.polls.back().callId, {}, {}, 8), Start + Milliseconds(10));
    OutputByKind restarted(supervisor.takeOutput());
    WorkerReply reply = answer;
    reply.callId = sent.starts[0].callId;
    supervisor.handleReply(reply, Start + Milliseconds(20));
    OutputByKind repeated(supervisor.takeOutput());
    CHECK(repeated.starts.empty());
    std::ranges::copy(repeated.polls, std::back_inserter(restarted.polls));
    const OutputByKind after = answerPolls(supervisor, restarted, 8, Start + Milliseconds(21));
    CHECK(after.starts.empty());
    CHECK(after.ends.size() + repeated.ends.size() == 1);
}
