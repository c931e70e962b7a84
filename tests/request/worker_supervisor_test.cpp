#include "request/worker_supervisor.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace marjoramferry;

namespace {

constexpr int64_t FirstFence = 1000;
const MonotonicTime Start{std::chrono::hours(1)};

WorkerAnnouncement announcement(int64_t sequence, int64_t startTimeMs = 7)
{
    WorkerAnnouncement result;
    result.identity = {"worker-1", startTimeMs};
    result.service = "orders";
    result.address = "10.0.0.1:80";
    result.domain = "north";
    result.capacity = {16'000, 1024, 0};
    result.clockMs = 100;
    result.sequence = sequence;
    return result;
}

RunRequest runRequest(const std::string &job, int64_t runNumber, int cpuMillis = 6000)
{
    RunRequest request;
    request.orderId = {"entry-1", 1, runNumber};
    request.key = {job, 0, 0, 1};
    request.demand = {cpuMillis, 64, 0};
    request.rank = runNumber;
    request.startDeadline = Start + Milliseconds(250);
    return request;
}

/** The output of a supervisor, split by kind. */
struct OutputByKind
{
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    std::vector<PollRuns> polls;
    std::vector<EndedRun> ends;

    explicit OutputByKind(WorkerSupervisor::Output output)
        : ends(std::move(output.ends))
    {
        for (const WorkerCall &call : output.calls) {
            if (const auto *start = std::get_if<StartRun>(&call)) {
                starts.push_back(*start);
            } else if (const auto *stop = std::get_if<StopRun>(&call)) {
                stops.push_back(*stop);
            } else if (const auto *poll = std::get_if<PollRuns>(&call)) {
                polls.push_back(*poll);
            }
        }
    }
};

WorkerReply accepted(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    reply.outcome = CallOutcome::Accepted;
    reply.clockMs = 200;
    return reply;
}

WorkerReply
listed(int64_t callId, std::vector<RunKey> running, std::vector<ListedEnd> ended = {}, int64_t startTimeMs = 7)
{
    WorkerReply reply = accepted(callId);
    reply.listing = RunListing{startTimeMs, std::move(running), std::move(ended)};
    return reply;
}

WorkerReply unanswered(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    return reply;
}

WorkerReply refused(int64_t callId)
{
    WorkerReply reply = unanswered(callId);
    reply.isRefused = true;
    return reply;
}

WorkerReply rejected(int64_t callId, Rejection reason)
{
    WorkerReply reply;
    reply.callId = callId;
    reply.outcome = CallOutcome::Rejected;
    reply.rejection = reason;
    return reply;
}

/** A supervisor whose worker has announced itself and accepted the first fence. */
struct ReconciledSupervisor
{
    WorkerSupervisor supervisor{WorkerTiming{}, FirstFence};

    ReconciledSupervisor()
    {
        supervisor.handleAnnouncement(announcement(1), Start);
        const OutputByKind output(supervisor.takeOutput());
        supervisor.handleReply(listed(output.polls.at(0).callId, {}), Start);
        supervisor.takeOutput();
    }

    /** Starts and confirms a run. Returns a poll that was sent after the confirmation. */
    PollRuns startAndConfirm(const RunRequest &request, MonotonicTime now)
    {
        supervisor.requestRun(request, now);
        const OutputByKind output(supervisor.takeOutput());
        REQUIRE(output.starts.size() == 1);
        supervisor.handleReply(accepted(output.starts[0].callId), now);
        const OutputByKind confirmed(supervisor.takeOutput());
        const PollRuns first = output.polls.empty() ? confirmed.polls.at(0) : output.polls.at(0);
        supervisor.handleReply(listed(first.callId, {request.key}), now + Milliseconds(1));
        return OutputByKind(supervisor.takeOutput()).polls.at(0);
    }
};

} // namespace

TEST_CASE("No run is started until the worker has accepted the fence and has no unknown runs")
{
    WorkerSupervisor supervisor(WorkerTiming{}, FirstFence);
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
    supervisor.requestRun(runRequest("a", 1, 12'000), Start);
    const OutputByKind first(supervisor.takeOutput());
    REQUIRE(first.starts.size() == 1);
    supervisor.handleReply(unanswered(first.starts[0].callId), Start + Milliseconds(50));
    const OutputByKind resent(supervisor.takeOutput());
    REQUIRE(resent.starts.size() == 1);
    CHECK(resent.starts[0].key == first.starts[0].key);
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
    supervisor.requestRun(runRequest("a", 1), Start);
    const OutputByKind first(supervisor.takeOutput());
    supervisor.handleReply(unanswered(first.starts.at(0).callId), Start + Milliseconds(50));
    const OutputByKind resent(supervisor.takeOutput());
    REQUIRE(resent.starts.size() == 1);
    CHECK(resent.starts[0].key == first.starts[0].key);
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
    supervisor.requestRun(runRequest("job", 1), Start);
    const OutputByKind first(supervisor.takeOutput());
    supervisor.handleReply(unanswered(first.starts.at(0).callId), Start + Milliseconds(20));
    const OutputByKind resent(supervisor.takeOutput());
    REQUIRE(resent.starts.size() == 1);
    // The first StartRun may have taken effect, so the second must be sent even after the start deadline.
    CHECK(resent.starts[0].notAfter > Start + std::chrono::hours(1));
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
    supervisor.requestRun(runRequest("after", 2, 4000), Start + Milliseconds(50));
    const OutputByKind output(supervisor.takeOutput());
    REQUIRE(output.starts.size() == 1);
    supervisor.handleReply(accepted(output.starts[0].callId), Start + Milliseconds(51));
    supervisor.takeOutput();

    SECTION("a listing of the new process contains it")
    {
        supervisor.handleReply(listed(poll.callId, {{"after", 0, 0, 1}}, {}, 8), Start + Milliseconds(60));
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
    supervisor.requestRun(runRequest("a", 1), Start);
    const OutputByKind first(supervisor.takeOutput());
    REQUIRE(first.starts.size() == 1);
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

TEST_CASE("A delayed announcement of an earlier process of the worker is ignored")
{
    ReconciledSupervisor fixture;
    fixture.supervisor.handleAnnouncement(announcement(99, 6), Start);
    CHECK(OutputByKind(fixture.supervisor.takeOutput()).polls.empty());
    CHECK(fixture.supervisor.state().bornMs == 7);
}

TEST_CASE("Runs of a worker that stopped answering are gone once their lease must have expired")
{
    ReconciledSupervisor fixture;
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

TEST_CASE("A worker that refuses connections is reported as crashed once, with its confirmed runs only")
{
    ReconciledSupervisor fixture;
    RunRequest first = runRequest("a", 1);
    first.queue = "quote";
    const PollRuns poll = fixture.startAndConfirm(first, Start);
    fixture.supervisor.requestRun(runRequest("b", 2), Start + Milliseconds(30));
    const int64_t unconfirmedStart = OutputByKind(fixture.supervisor.takeOutput()).starts.at(0).callId;

    fixture.supervisor.handleReply(refused(poll.callId), Start + Milliseconds(40));
    fixture.supervisor.handleReply(refused(unconfirmedStart), Start + Milliseconds(41));
    const WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
    REQUIRE(output.crashes.size() == 1);
    CHECK(output.crashes[0].worker == WorkerIdentity{"worker-1", 7});
    REQUIRE(output.crashes[0].runs.size() == 1);
    CHECK(output.crashes[0].runs[0] == CrashedRun{RunKey{"a", 0, 0, 1}, "quote", 40});

    // The runs end only once their lease has expired: a refused connection does not prove that they have.
    CHECK(std::ranges::none_of(output.ends, [](const EndedRun &end) { return end.orderId.runNumber == 1; }));
}

TEST_CASE("A worker that leaves, or that is only silent, is not reported as crashed")
{
    ReconciledSupervisor fixture;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    SECTION("silent")
    {
        fixture.supervisor.handleReply(unanswered(poll.callId), Start + Milliseconds(40));
    }
    SECTION("leaving")
    {
        WorkerAnnouncement leaving = announcement(2);
        leaving.leaving = true;
        fixture.supervisor.handleAnnouncement(leaving, Start + Milliseconds(20));
        fixture.supervisor.handleReply(refused(poll.callId), Start + Milliseconds(40));
    }
    CHECK(fixture.supervisor.takeOutput().crashes.empty());
}

TEST_CASE("A worker that is replaced or restarted while it had runs is reported as crashed")
{
    ReconciledSupervisor fixture;
    fixture.startAndConfirm(runRequest("a", 1), Start);
    WorkerAnnouncement next = announcement(1, 8);
    next.identity.id = GENERATE("worker-1", "worker-2");
    fixture.supervisor.handleAnnouncement(next, Start + Milliseconds(90));
    const WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
    REQUIRE(output.crashes.size() == 1);
    CHECK(output.crashes[0].worker == WorkerIdentity{"worker-1", 7});
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
