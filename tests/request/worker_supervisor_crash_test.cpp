#include "request/crash_tracker.h"
#include "tests/support/supervisor_fixture.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

wire::WorkerCrash toReport(const WorkerCrash &crash, const std::string &worker)
{
    CrashLog log;
    log.add(crash, crash.at);
    wire::WorkerCrash report = log.reportsAfter(0, crash.at).at(0);
    report.worker = worker;
    return report;
}

} // namespace

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

TEST_CASE("A worker that is replaced or restarted while it had runs is reported as crashed, once that is proved")
{
    ReconciledSupervisor fixture;
    fixture.startAndConfirm(runRequest("a", 1), Start);
    WorkerAnnouncement next = announcement(1, 8);
    next.identity.id = GENERATE("worker-1", "worker-2");
    fixture.supervisor.handleAnnouncement(next, Start + Milliseconds(90));
    WorkerSupervisor::Output announced = fixture.supervisor.takeOutput();
    CHECK(announced.crashes.empty());
    const OutputByKind calls(std::move(announced));
    REQUIRE(calls.polls.size() == 1);
    const int64_t poll = calls.polls[0].callId;
    fixture.supervisor.handleReply(next.identity.id == "worker-1" ? listed(poll, {}, {}, 8)
                                                                  : rejected(poll, Rejection::OtherIncarnation),
                                   Start + Milliseconds(92));
    const WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
    REQUIRE(output.crashes.size() == 1);
    CHECK(output.crashes[0].worker == WorkerIdentity{"worker-1", 7});
}

// Guards against a verdict on a bystander, and against a task that crashes its worker before its start is answered and
// is started again without limit.
TEST_CASE("A run whose start broke off with the worker's connections is part of the crash, and no older run its cause")
{
    CrashTracker tracker;
    for (int worker = 0; worker < 2; ++worker) {
        ReconciledSupervisor fixture;
        const PollRuns poll = fixture.startAndConfirm(runRequest("bystander", 1), Start);
        fixture.supervisor.requestRun(runRequest("deadly", 2), Start + Milliseconds(30));
        const int64_t brokenStart = OutputByKind(fixture.supervisor.takeOutput()).starts.at(0).callId;
        fixture.supervisor.handleReply(unanswered(brokenStart), Start + Milliseconds(32));
        fixture.supervisor.handleReply(refused(poll.callId), Start + Milliseconds(33));
        const WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
        REQUIRE(output.crashes.size() == 1);
        tracker.record(toReport(output.crashes[0], absl::StrCat("worker-", worker)), Start + Milliseconds(33));
    }
    CHECK(tracker.countsOf("deadly", 0, 0).all == 2);
    CHECK(tracker.countsOf("bystander", 0, 0).likelyCaused == 0);
}

// Guards against a task that crashes its worker at once but does not count as the cause, as the crash is noticed later.
TEST_CASE("A task that crashes its worker 15 ms after its start is the likely cause, whenever the crash is noticed")
{
    ReconciledSupervisor fixture;
    const PollRuns poll = fixture.startAndConfirm(runRequest("deadly", 1), Start);
    // The worker's connections break; it refuses new ones.
    fixture.supervisor.handleReply(unanswered(poll.callId), Start + Milliseconds(15));
    for (int ms = 20; ms <= 300; ms += 10) {
        fixture.supervisor.tick(Start + Milliseconds(ms));
        for (const PollRuns &retry : OutputByKind(fixture.supervisor.takeOutput()).polls) {
            fixture.supervisor.handleReply(refused(retry.callId), Start + Milliseconds(ms + 1));
            const WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
            REQUIRE(output.crashes.size() == 1);
            CAPTURE(output.crashes[0].runs.at(0).ageMs);
            CrashTracker tracker;
            tracker.record(toReport(output.crashes[0], "worker-1"), Start + Milliseconds(ms + 1));
            CHECK(tracker.countsOf("deadly", 0, 0).likelyCaused == 1);
            return;
        }
    }
    FAIL("no poll was sent again");
}

// Guards against a crash that no entry hears of, since a connection to the process was refused some time before.
TEST_CASE("A worker that refused a connection and answered since is reported when it crashes")
{
    ReconciledSupervisor fixture;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    fixture.supervisor.handleReply(refused(poll.callId), Start + Milliseconds(10));
    fixture.supervisor.takeOutput();
    fixture.supervisor.tick(Start + Milliseconds(150));
    const OutputByKind retry(fixture.supervisor.takeOutput());
    REQUIRE(retry.polls.size() == 1);
    fixture.supervisor.handleReply(listed(retry.polls[0].callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}),
                                   Start + Milliseconds(151));
    fixture.supervisor.takeOutput();
    fixture.supervisor.requestRun(runRequest("deadly", 2), Start + Milliseconds(160));
    const OutputByKind started(fixture.supervisor.takeOutput());
    REQUIRE(started.starts.size() == 1);
    fixture.supervisor.handleReply(accepted(started.starts[0].callId), Start + Milliseconds(161));
    fixture.supervisor.takeOutput();
    fixture.supervisor.handleAnnouncement(announcement(1, 8), Start + Milliseconds(200));
    const OutputByKind announced(fixture.supervisor.takeOutput());
    REQUIRE(announced.polls.size() == 1);
    fixture.supervisor.handleReply(listed(announced.polls[0].callId, {}, {}, 8), Start + Milliseconds(201));
    CHECK(fixture.supervisor.takeOutput().crashes.size() == 1);
}

// Guards against jobs shown as failed after two refused connections to workers that did not crash.
TEST_CASE("A task whose workers refused a connection and then list it as done is not the likely cause of crashes")
{
    CrashTracker tracker;
    for (int worker = 0; worker < 2; ++worker) {
        ReconciledSupervisor fixture;
        const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
        fixture.supervisor.handleReply(refused(poll.callId), Start + Milliseconds(20));
        fixture.supervisor.tick(Start + Milliseconds(150));
        WorkerSupervisor::Output output = fixture.supervisor.takeOutput();
        const std::vector<WorkerCrash> crashes = output.crashes;
        const OutputByKind retry(std::move(output));
        REQUIRE(retry.polls.size() == 1);
        fixture.supervisor.handleReply(listed(retry.polls[0].callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}),
                                       Start + Milliseconds(151));
        REQUIRE(OutputByKind(fixture.supervisor.takeOutput()).ends.at(0).outcome == wire::RunOutcome::DONE);
        for (const WorkerCrash &crash : crashes) {
            tracker.record(toReport(crash, absl::StrCat("worker-", worker)), Start + worker * Milliseconds(500));
        }
    }
    CHECK(tracker.countsOf("a", 0, 0).likelyCaused < 2);
}

// Guards against a task that crashes its worker before its start is answered and is started again without limit.
TEST_CASE("A run whose start broke off before its worker restarted is lost, not returned as not started")
{
    ReconciledSupervisor fixture;
    fixture.supervisor.requestRun(runRequest("deadly", 1), Start);
    const OutputByKind first(fixture.supervisor.takeOutput());
    REQUIRE(first.starts.size() == 1);
    fixture.supervisor.handleReply(unanswered(first.starts[0].callId), Start + Milliseconds(2));
    const OutputByKind second(fixture.supervisor.takeOutput());
    REQUIRE(second.starts.size() == 1);
    fixture.supervisor.handleReply(refused(second.starts[0].callId), Start + Milliseconds(3));
    fixture.supervisor.takeOutput();
    fixture.supervisor.handleAnnouncement(announcement(1, 8), Start + Milliseconds(300));
    const OutputByKind restarted(fixture.supervisor.takeOutput());
    REQUIRE(restarted.polls.size() == 1);
    fixture.supervisor.handleReply(listed(restarted.polls[0].callId, {}, {}, 8), Start + Milliseconds(301));
    const OutputByKind output(fixture.supervisor.takeOutput());
    REQUIRE(output.ends.size() == 1);
    CAPTURE(output.ends[0].reason);
    CHECK(output.ends[0].outcome == wire::RunOutcome::GONE);
}
