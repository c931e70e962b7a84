#include "tests/support/supervisor_fixture.h"

#include <algorithm>
#include <limits>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** The announcement of a process that isn't beside the agent. */
WorkerAnnouncement foreignAnnouncement(const std::string &id, int64_t startTimeMs)
{
    WorkerAnnouncement result = announcement(4, startTimeMs);
    result.identity.id = id;
    result.service = "unknown";
    result.address = "10.0.0.1:9";
    result.clockMs = 482'113;
    return result;
}

} // namespace

// Guards against tasks that run twice: their runs were reported as gone on the word of an announcement, and started
// again elsewhere.
TEST_CASE("An announcement of another writer ends no run of a worker that answers, and the worker stays in use")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns pending = fixture.startAndConfirm(runRequest("a", 1), Start);
    const WorkerAnnouncement foreign
        = foreignAnnouncement(GENERATE("worker-1", "other"), GENERATE(6, 8, std::numeric_limits<int64_t>::max()));
    supervisor.handleAnnouncement(foreign, Start + Milliseconds(90));
    WorkerSupervisor::Output announced = supervisor.takeOutput();
    CHECK(announced.crashes.empty());
    const OutputByKind calls(std::move(announced));
    CHECK(calls.ends.empty());

    // The answer to a call that was sent before proves nothing.
    supervisor.handleReply(listed(pending.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(91));
    for (const PollRuns &poll : calls.polls) {
        CHECK(poll.target == WorkerTarget{"10.0.0.1:80", "worker-1"});
        supervisor.handleReply(listed(poll.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(92));
    }
    CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
    CHECK(supervisor.state().worker == "worker-1");
    CHECK(supervisor.state().bornMs == 7);

    supervisor.requestRun(runRequest("b", 2), Start + Milliseconds(100));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
    WorkerAnnouncement draining = announcement(2);
    draining.clockMs = 290;
    draining.leaving = true;
    supervisor.handleAnnouncement(draining, Start + Milliseconds(110));
    CHECK_FALSE(supervisor.freeCapacity().takesRuns);
}

TEST_CASE("A worker whose address another process answers at is replaced, and its runs are gone")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns before = fixture.startAndConfirm(runRequest("a", 1), Start);
    WorkerAnnouncement next = announcement(1, 8);
    next.identity.id = "worker-2";
    supervisor.handleAnnouncement(next, Start + Milliseconds(90));
    const OutputByKind calls(supervisor.takeOutput());
    REQUIRE(calls.polls.size() == 1);
    CHECK(calls.ends.empty());
    // An answer to a call from before the announcement may be older than the end of the process.
    supervisor.handleReply(listed(before.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(91));
    supervisor.takeOutput();
    supervisor.handleReply(rejected(calls.polls[0].callId, Rejection::OtherIncarnation), Start + Milliseconds(92));
    const OutputByKind replaced(supervisor.takeOutput());
    REQUIRE(replaced.ends.size() == 1);
    CHECK(replaced.ends[0].outcome == wire::RunOutcome::GONE);
    CHECK(supervisor.state().worker == "worker-2");
    REQUIRE(replaced.polls.size() == 1);
    CHECK(replaced.polls[0].target.id == "worker-2");
}

TEST_CASE("A silent worker is replaced only after its lease must have expired")
{
    ReconciledSupervisor fixture(Start - Milliseconds(1100));
    WorkerSupervisor &supervisor = fixture.supervisor;
    const bool hasRun = GENERATE(false, true);
    if (hasRun) {
        fixture.startAndConfirm(runRequest("a", 1), Start);
    }
    WorkerAnnouncement next = announcement(1, 8);
    next.identity.id = "worker-2";
    next.address = "10.0.0.1:81";
    const MonotonicTime announcedAt = Start + Milliseconds(5);
    supervisor.handleAnnouncement(next, announcedAt);
    size_t ends = 0;
    for (MonotonicTime now = announcedAt; now <= announcedAt + Milliseconds(580); now += Milliseconds(20)) {
        supervisor.tick(now);
        const OutputByKind output(supervisor.takeOutput());
        ends += output.ends.size();
        for (const PollRuns &poll : output.polls) {
            CHECK(poll.target.id == "worker-1");
            supervisor.handleReply(unanswered(poll.callId), now);
        }
    }
    CHECK(ends == 0);
    CHECK(supervisor.state().worker == "worker-1");
    supervisor.tick(announcedAt + Milliseconds(800));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.size() == (hasRun ? 1 : 0));
    CHECK(supervisor.state().worker == "worker-2");
}

TEST_CASE("An agent that adopted the process of an odd announcement changes to its own worker within a lease")
{
    EntryLiveness liveness(Milliseconds(700));
    WorkerSupervisor supervisor(WorkerTiming{}, FirstFence, liveness);
    supervisor.handleAnnouncement(foreignAnnouncement(GENERATE("worker-1", "other"), GENERATE(6, 8)), Start);
    MonotonicTime now = Start;
    for (; now <= Start + Milliseconds(2000); now += Milliseconds(20)) {
        if (now == Start + Milliseconds(1200)) {
            supervisor.handleAnnouncement(announcement(1), now);
        }
        supervisor.tick(now);
        for (const PollRuns &poll : OutputByKind(supervisor.takeOutput()).polls) {
            const bool isOwn = poll.target == WorkerTarget{"10.0.0.1:80", "worker-1"};
            supervisor.handleReply(isOwn ? listed(poll.callId, {}) : refused(poll.callId), now);
        }
    }
    CHECK(supervisor.state().worker == "worker-1");
    CHECK(supervisor.state().bornMs == 7);
    CHECK(supervisor.freeCapacity().takesRuns);
}

// Guards against tasks that run twice: a worker that says that it ends may go on for seconds, and the message may be a
// delayed one of an earlier process under the same name.
TEST_CASE("A worker that says that it leaves keeps its runs as long as it answers")
{
    ReconciledSupervisor fixture(Start - Milliseconds(1100));
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.handleDeparture({"worker-1"}, Start);
    CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
    CHECK_FALSE(supervisor.freeCapacity().takesRuns);

    SECTION("it answers: the run ends as listed")
    {
        supervisor.handleReply(listed(poll.callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}),
                               Start + Milliseconds(200));
        const OutputByKind output(supervisor.takeOutput());
        REQUIRE(output.ends.size() == 1);
        CHECK(output.ends[0].outcome == wire::RunOutcome::DONE);
    }
    SECTION("it no longer answers: the run is gone once its lease has expired")
    {
        supervisor.handleReply(refused(poll.callId), Start + Milliseconds(60));
        supervisor.tick(Start + Milliseconds(600));
        CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
        supervisor.tick(Start + Milliseconds(800));
        const OutputByKind output(supervisor.takeOutput());
        REQUIRE(output.ends.size() == 1);
        CHECK(output.ends[0].outcome == wire::RunOutcome::GONE);
    }
    supervisor.tick(Start + Milliseconds(820));
    CHECK(supervisor.state().worker.empty());
}

// Guards against tasks that run twice: a row that can't be read may be that of the run.
TEST_CASE("A run that an incomplete listing lacks is not gone, and the worker gets no new runs until one is complete")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    WorkerReply incomplete = listed(poll.callId, {});
    incomplete.listing->isComplete = false;
    supervisor.handleReply(incomplete, Start + Milliseconds(200));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
    CHECK_FALSE(supervisor.isReconciled());
    CHECK_FALSE(supervisor.freeCapacity().takesRuns);

    supervisor.tick(Start + Milliseconds(310));
    const OutputByKind next(supervisor.takeOutput());
    REQUIRE(next.polls.size() == 1);
    supervisor.handleReply(listed(next.polls[0].callId, {{"a", 0, 0, 1}}), Start + Milliseconds(311));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
    CHECK(supervisor.freeCapacity().takesRuns);
}

// Guards against an agent that no longer follows its worker, and against leases that outlast what the agent assumes.
TEST_CASE("A sequence number or clock that is too large hides no later announcement and extends no lease")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    WorkerAnnouncement odd = announcement(2);
    odd.sequence = std::numeric_limits<int64_t>::max();
    odd.clockMs = GENERATE(int64_t{150}, std::numeric_limits<int64_t>::max());
    supervisor.handleAnnouncement(odd, Start + Milliseconds(100));
    supervisor.requestRun(runRequest("a", 1), Start + Milliseconds(120));
    const OutputByKind output(supervisor.takeOutput());
    REQUIRE(output.starts.size() == 1);
    CHECK(output.starts[0].leaseEndMs <= 200 + 120 + 600);

    WorkerAnnouncement draining = announcement(3);
    draining.clockMs = 1700;
    draining.leaving = true;
    supervisor.handleAnnouncement(draining, Start + Milliseconds(1500));
    CHECK_FALSE(supervisor.freeCapacity().takesRuns);
}

// Guards against a second run of a task: a call that was under way at the restart carries a lease end of the old clock,
// for which the new process grants the longest lease.
TEST_CASE("Runs of a restarted worker are not taken for ended while an earlier call may have extended their lease")
{
    constexpr Milliseconds Restart{310};
    constexpr Milliseconds LongestLease{1020}; // 1,000 ms on a clock that is 2% slow.
    constexpr Milliseconds StopTime{50};
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("before", 1), Start);
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Restart);
    const OutputByKind restarted(supervisor.takeOutput());
    supervisor.handleReply(listed(restarted.polls.back().callId, {}, {}, 8), Start + Restart + Milliseconds(2));
    supervisor.handleAnnouncement(announcement(1, 8), Start + Restart + Milliseconds(3));
    supervisor.takeOutput();
    const MonotonicTime started = Start + Restart + Milliseconds(5);
    fixture.proveEntryAlive(started);
    RunRequest request = runRequest("after", 2);
    request.startDeadline = started + Milliseconds(25);
    supervisor.requestRun(request, started);
    OutputByKind output(supervisor.takeOutput());
    REQUIRE(output.starts.size() == 1);
    supervisor.handleReply(accepted(output.starts[0].callId), started);
    std::optional<MonotonicTime> endedAt;
    for (MonotonicTime now = started; !endedAt && now < started + Milliseconds(3000); now += Milliseconds(20)) {
        fixture.proveEntryAlive(now);
        for (const PollRuns &each : output.polls) {
            supervisor.handleReply(unanswered(each.callId), now);
        }
        supervisor.tick(now);
        output = OutputByKind(supervisor.takeOutput());
        endedAt = output.ends.empty() ? endedAt : now;
    }
    REQUIRE(endedAt);
    CHECK(*endedAt >= Start + Restart + LongestLease + StopTime);
}
