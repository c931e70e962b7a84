#include "tests/support/supervisor_fixture.h"

using namespace marjoramferry;
using namespace marjoramferry::testing;

TEST_CASE("No run is started until the worker has accepted the fence and has no unknown runs")
{
    EntryLiveness liveness(Milliseconds(700));
    liveness.recordEcho("entry-1", 1, Start);
    WorkerSupervisor supervisor(WorkerTiming{}, FirstFence, liveness);
    supervisor.handleAnnouncement(announcement(1), Start);
    const OutputByKind first(supervisor.takeOutput());
    REQUIRE(first.polls.size() == 1);
    CHECK(first.polls[0].fence == FirstFence);
    supervisor.requestRun(runRequest("a", 1), Start);
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());

    const RunKey unknownRun{"old", 0, 0, 1};
    supervisor.handleReply(listed(first.polls[0].callId, {unknownRun}), Start);
    const OutputByKind second(supervisor.takeOutput());
    REQUIRE(second.stops.size() == 1);
    CHECK(second.stops[0].key == unknownRun);
    CHECK(second.starts.empty());
    CHECK_FALSE(supervisor.isReconciled());

    supervisor.tick(Start + Milliseconds(110));
    const OutputByKind third(supervisor.takeOutput());
    REQUIRE(third.polls.size() == 1);
    supervisor.handleReply(listed(third.polls[0].callId, {}, {{1, unknownRun, EndKind::Stopped}}),
                           Start + Milliseconds(111));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
    CHECK(supervisor.isReconciled());
}

TEST_CASE("Starting, running and stopping runs use capacity, and queued runs start by rank once they fit")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1, 9000), Start);
    supervisor.requestRun(runRequest("c", 3, 9000), Start);
    supervisor.requestRun(runRequest("b", 2, 9000), Start);
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
    supervisor.withdrawRun({"entry-1", 1, 1}, Start + Milliseconds(5));
    const OutputByKind stopping(supervisor.takeOutput());
    CHECK(stopping.stops.size() == 1);
    CHECK(stopping.starts.empty());

    supervisor.tick(Start + Milliseconds(10));
    supervisor.handleReply(listed(poll.callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Stopped}}), Start + Milliseconds(20));
    const OutputByKind after(supervisor.takeOutput());
    REQUIRE(after.starts.size() == 1);
    CHECK(after.starts[0].key.jobId == "b");
    REQUIRE(after.ends.size() == 1);
    CHECK(after.ends[0].outcome == wire::RunOutcome::GONE);
}

TEST_CASE("The capacity of an unanswered start is not free until a higher fence resolves the start")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const auto [first, resent] = fixture.startTwice(runRequest("a", 1, 12'000), Start + Milliseconds(50));
    supervisor.handleReply(unanswered(resent.starts[0].callId), Start + Milliseconds(100));
    supervisor.requestRun(runRequest("b", 2, 12'000), Start + Milliseconds(150));
    const OutputByKind second(supervisor.takeOutput());
    CHECK(second.starts.empty());
    CHECK(second.ends.empty());
    const auto fencedPoll
        = std::ranges::find_if(second.polls, [](const auto &poll) { return poll.fence > FirstFence; });
    REQUIRE(fencedPoll != second.polls.end());

    SECTION("the worker does not list the run: it never started")
    {
        supervisor.handleReply(listed(fencedPoll->callId, {}), Start + Milliseconds(160));
        const OutputByKind third(supervisor.takeOutput());
        REQUIRE(third.ends.size() == 1);
        CHECK(third.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
        REQUIRE(third.starts.size() == 1);
        CHECK(third.starts[0].fence > FirstFence);
    }
    SECTION("the worker lists the run: it is running")
    {
        supervisor.handleReply(listed(fencedPoll->callId, {first.starts[0].key}), Start + Milliseconds(160));
        const OutputByKind third(supervisor.takeOutput());
        CHECK(third.ends.empty());
        CHECK(third.starts.empty());
    }
    SECTION("the poll with the higher fence is not answered either: the capacity stays claimed")
    {
        supervisor.handleReply(unanswered(fencedPoll->callId), Start + Milliseconds(300));
        supervisor.tick(Start + Milliseconds(400));
        CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
        CHECK(supervisor.freeCapacity().unclaimed.cpuMillis < 12'000);
    }
}

TEST_CASE("Lost answers: an unanswered start is resent unchanged, and its answer shows whether the first took effect")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const auto [first, resent] = fixture.startTwice(runRequest("a", 1), Start + Milliseconds(50));
    CHECK(resent.starts[0].fence == first.starts[0].fence);
    CHECK(resent.ends.empty());

    SECTION("the run is running")
    {
        supervisor.handleReply(accepted(resent.starts[0].callId), Start + Milliseconds(51));
        CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
    }
    SECTION("the run has ended: the listing reports how")
    {
        supervisor.handleReply(rejected(resent.starts[0].callId, Rejection::OldAttempt), Start + Milliseconds(51));
        const OutputByKind third(supervisor.takeOutput());
        CHECK(third.starts.empty());
        const int64_t pollId = first.polls.empty() ? third.polls.at(0).callId : first.polls.at(0).callId;
        supervisor.handleReply(listed(pollId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}), Start + Milliseconds(52));
        const OutputByKind fourth(supervisor.takeOutput());
        REQUIRE(fourth.ends.size() == 1);
        CHECK(fourth.ends[0].outcome == wire::RunOutcome::DONE);
    }
}

TEST_CASE("Lost answers: a second poll is sent beside an unanswered one, and the worker stays in use")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.tick(Start + Milliseconds(60));
    const OutputByKind second(supervisor.takeOutput());
    REQUIRE(second.polls.size() == 1);
    supervisor.handleReply(listed(second.polls[0].callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}),
                           Start + Milliseconds(70));
    REQUIRE(OutputByKind(supervisor.takeOutput()).ends.size() == 1);
    supervisor.handleReply(unanswered(poll.callId), Start + Milliseconds(350));
    CHECK(supervisor.freeCapacity().takesRuns);
}

TEST_CASE("Each end is reported once, and acknowledged to the worker even if no run is left")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.handleReply(listed(poll.callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}), Start + Milliseconds(60));
    const OutputByKind after(supervisor.takeOutput());
    REQUIRE(after.ends.size() == 1);
    CHECK(after.ends[0].outcome == wire::RunOutcome::DONE);
    CHECK(after.ends[0].ranMs == 60);
    REQUIRE(after.polls.size() == 1);
    CHECK(after.polls[0].acknowledgedEnd == 1);
    supervisor.handleReply(listed(after.polls[0].callId, {}, {}), Start + Milliseconds(61));
    const OutputByKind rest(supervisor.takeOutput());
    CHECK(rest.ends.empty());
    CHECK(rest.polls.empty());
}

TEST_CASE("Lost answers: a failed resend of a start does not end the run, since the first may have taken effect")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const auto [first, resent] = fixture.startTwice(runRequest("job", 1), Start + Milliseconds(20));
    // The first StartRun may have taken effect, so the second may be sent after the start deadline, but only as long as
    // the entry is known to be alive: it gives the task to another agent later.
    CHECK(resent.starts[0].notAfter > first.starts[0].notAfter);
    CHECK(resent.starts[0].notAfter == fixture.liveness.validUntil(runRequest("job", 1).orderId));
    WorkerReply second
        = rejected(resent.starts[0].callId,
                   GENERATE(Rejection::InsufficientCapacity, Rejection::LeaseExpired, Rejection::Unhealthy));
    if (GENERATE(true, false)) {
        second.outcome = CallOutcome::NotSent;
    }
    supervisor.handleReply(second, Start + Milliseconds(21));
    const OutputByKind after(supervisor.takeOutput());
    CHECK(after.ends.empty());
    REQUIRE_FALSE(after.polls.empty());
    CHECK(after.polls.back().fence > first.starts[0].fence);
    // Once the worker has accepted the fence, its listing shows whether the run exists.
    supervisor.handleReply(listed(after.polls.back().callId, {first.starts[0].key}), Start + Milliseconds(22));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
}

TEST_CASE("Runs are gone after the worker restarted under the same name")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Milliseconds(60));
    const OutputByKind after(supervisor.takeOutput());
    REQUIRE(after.ends.size() == 1);
    CHECK(after.ends[0].outcome == wire::RunOutcome::GONE);
    CHECK(after.ends[0].reason == "worker_restarted");
    CHECK_FALSE(supervisor.isReconciled());
}

TEST_CASE("A run that a restarted worker accepted before its restart was detected is kept")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("before", 1, 4000), Start);
    // The worker restarts here under the same name; the next StartRun reaches the new process.
    const OutputByKind output = fixture.start(runRequest("after", 2, 4000), Start + Milliseconds(50));
    supervisor.handleReply(accepted(output.starts[0].callId), Start + Milliseconds(51));
    supervisor.takeOutput();

    SECTION("a listing of the new process contains it")
    {
        supervisor.handleReply(listed(poll.callId, {{"after", 0, 0, 1}}, {}, 8), Start + Milliseconds(60));
        supervisor.handleAnnouncement(announcement(1, 8), Start + Milliseconds(61));
    }
    SECTION("an announcement of the new process arrives first")
    {
        supervisor.handleAnnouncement(announcement(1, 8), Start + Milliseconds(55));
        const OutputByKind afterRestart(supervisor.takeOutput());
        CHECK(afterRestart.ends.empty());
        REQUIRE(afterRestart.polls.size() == 1);
        supervisor.handleReply(listed(afterRestart.polls[0].callId, {{"after", 0, 0, 1}}, {}, 8),
                               Start + Milliseconds(60));
    }
    const OutputByKind later(supervisor.takeOutput());
    REQUIRE(later.ends.size() == 1);
    CHECK(later.ends[0].orderId.runNumber == 1);
    CHECK(later.ends[0].outcome == wire::RunOutcome::GONE);
    CHECK(later.stops.empty());
    CHECK(supervisor.freeCapacity().unclaimed.cpuMillis == 12'000);
}

TEST_CASE("A start that was in flight when the worker restarted is resolved by a higher fence")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const OutputByKind first = fixture.start(runRequest("a", 1), Start);
    supervisor.handleAnnouncement(announcement(1, 8), Start + Milliseconds(5));
    const OutputByKind second(supervisor.takeOutput());
    CHECK(second.ends.empty());
    REQUIRE(second.polls.size() == 1);
    CHECK(second.polls[0].fence > FirstFence);
    supervisor.handleReply(unanswered(first.starts[0].callId), Start + Milliseconds(50));
    const OutputByKind resent(supervisor.takeOutput());
    REQUIRE(resent.starts.size() == 1);
    supervisor.handleReply(unanswered(resent.starts[0].callId), Start + Milliseconds(150));
    supervisor.handleReply(listed(second.polls[0].callId, {}, {}, 8), Start + Milliseconds(151));
    OutputByKind third(supervisor.takeOutput());
    if (third.ends.empty()) {
        const auto last = third.polls.back();
        supervisor.handleReply(listed(last.callId, {}, {}, 8), Start + Milliseconds(152));
        third = OutputByKind(supervisor.takeOutput());
    }
    REQUIRE(third.ends.size() == 1);
    CHECK(third.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
}

TEST_CASE("Runs of a worker that stopped answering are gone once their lease must have expired")
{
    ReconciledSupervisor fixture(Start - Milliseconds(1100));
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.handleReply(unanswered(poll.callId), Start + Milliseconds(350));
    supervisor.tick(Start + Milliseconds(600));
    OutputByKind early(supervisor.takeOutput());
    CHECK(early.ends.empty());
    supervisor.tick(Start + Milliseconds(800));
    const OutputByKind late(supervisor.takeOutput());
    REQUIRE(late.ends.size() == 1);
    CHECK(late.ends[0].outcome == wire::RunOutcome::GONE);
}

// Guards against two runs of a task: a start sent shortly before an idle worker counted as lost was reported as gone.
TEST_CASE("A start on a worker without announcements is not gone before its lease must have expired")
{
    constexpr Milliseconds Sent{3950};
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const int64_t clockAtStart = accepted(0).clockMs.value();
    fixture.proveEntryAlive(Start + Sent);
    RunRequest request = runRequest("a", 1);
    request.startDeadline = Start + Sent + Milliseconds(250);
    supervisor.requestRun(request, Start + Sent);
    const OutputByKind sent(supervisor.takeOutput());
    REQUIRE(sent.starts.size() == 1);
    std::optional<MonotonicTime> endedAt;
    for (MonotonicTime now = Start + Sent; !endedAt && now < Start + Milliseconds(6000); now += Milliseconds(20)) {
        supervisor.tick(now);
        endedAt = supervisor.takeOutput().ends.empty() ? endedAt : now;
    }
    REQUIRE(endedAt);
    CHECK(millisecondsBetween(Start, *endedAt) >= sent.starts[0].leaseEndMs - clockAtStart);
}

TEST_CASE("A start rejected for an old attempt is retried with a higher attempt runNumber")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    supervisor.requestRun(runRequest("a", 1), Start);
    const OutputByKind first(supervisor.takeOutput());
    supervisor.handleReply(rejected(first.starts.at(0).callId, Rejection::OldAttempt), Start);
    const OutputByKind second(supervisor.takeOutput());
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts[0].key.attempt == 2);
    CHECK(second.ends.empty());
}

TEST_CASE("A draining worker gets no new runs")
{
    ReconciledSupervisor fixture;
    WorkerAnnouncement leaving = announcement(2);
    leaving.leaving = true;
    fixture.supervisor.handleAnnouncement(leaving, Start);
    fixture.supervisor.requestRun(runRequest("a", 1), Start);
    const OutputByKind output(fixture.supervisor.takeOutput());
    CHECK(output.starts.empty());
    REQUIRE(output.ends.size() == 1);
    CHECK(output.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
    CHECK_FALSE(fixture.supervisor.freeCapacity().takesRuns);
}

TEST_CASE("A run is not started while another run of the same task is on the worker")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    fixture.startAndConfirm(runRequest("a", 1), Start);
    RunRequest second = runRequest("a", 7);
    second.orderId.entryIncarnation = "entry-2";
    supervisor.requestRun(second, Start + Milliseconds(1));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
}

TEST_CASE("Withdrawing the sessions of a lost entry stops its running and rejects its queued runs")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    fixture.startAndConfirm(runRequest("a", 1, 12'000), Start);
    supervisor.requestRun(runRequest("b", 2, 12'000), Start);
    supervisor.takeOutput();
    supervisor.withdrawSessionsBefore("entry-1", 2, Start + Milliseconds(10));
    const OutputByKind output(supervisor.takeOutput());
    CHECK(output.stops.size() == 1);
    REQUIRE(output.ends.size() == 1);
    CHECK(output.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
}

TEST_CASE("A worker whose capacity shrinks while it runs tasks is started nothing over the new capacity")
{
    ReconciledSupervisor fixture;
    fixture.startAndConfirm(runRequest("a", 1, 6000), Start);
    WorkerAnnouncement smaller = announcement(2);
    smaller.capacity = {8'000, 1024, 0};
    fixture.supervisor.handleAnnouncement(smaller, Start + Milliseconds(10));
    CHECK(fixture.supervisor.freeCapacity().unclaimed.cpuMillis == 2'000);
    fixture.supervisor.requestRun(runRequest("b", 2, 6000), Start + Milliseconds(20));
    CHECK(OutputByKind(fixture.supervisor.takeOutput()).starts.empty());

    WorkerAnnouncement larger = announcement(3);
    fixture.supervisor.handleAnnouncement(larger, Start + Milliseconds(30));
    CHECK(OutputByKind(fixture.supervisor.takeOutput()).starts.size() == 1);
}

// Guards against a start that was refused for an earlier run of the task, and is counted as a run that was lost.
TEST_CASE("A second start refused as old, and neither listed as running nor as ended, is returned as not started")
{
    ReconciledSupervisor fixture;
    fixture.supervisor.requestRun(runRequest("a", 1), Start);
    const OutputByKind first(fixture.supervisor.takeOutput());
    REQUIRE(first.starts.size() == 1);
    fixture.supervisor.handleReply(unanswered(first.starts[0].callId), Start + Milliseconds(20));
    const OutputByKind second(fixture.supervisor.takeOutput());
    REQUIRE(second.starts.size() == 1);
    fixture.supervisor.handleReply(rejected(second.starts[0].callId, Rejection::OldAttempt), Start + Milliseconds(22));
    std::vector<PollRuns> polls = first.polls;
    for (int ms = 30; ms <= 600; ms += 10) {
        fixture.supervisor.tick(Start + Milliseconds(ms));
        OutputByKind output(fixture.supervisor.takeOutput());
        polls.insert(polls.end(), output.polls.begin(), output.polls.end());
        for (const PollRuns &poll : std::exchange(polls, {})) {
            fixture.supervisor.handleReply(listed(poll.callId, {}), Start + Milliseconds(ms));
        }
        OutputByKind after(fixture.supervisor.takeOutput());
        polls = after.polls;
        output.ends.insert(output.ends.end(), after.ends.begin(), after.ends.end());
        if (!output.ends.empty()) {
            CAPTURE(output.ends[0].reason);
            CHECK(output.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
            return;
        }
        if (!after.starts.empty()) {
            SUCCEED("started again with a higher attempt number");
            return;
        }
    }
    FAIL("the run has no end");
}
