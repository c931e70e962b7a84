#include "tests/support/supervisor_fixture.h"

#include <algorithm>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** An accepted poll of a process without runs, whose clock shows @p clockMs. */
WorkerReply listedAt(int64_t clockMs, int64_t callId, int64_t startTimeMs)
{
    WorkerReply result = listed(callId, {}, {}, startTimeMs);
    result.clockMs = clockMs;
    return result;
}

} // namespace

// Guards against leases that the worker ends later than the agent takes for certain: a reply of an earlier process,
// whose clock was ahead, arrived after the restart, and each later call asked for a lease on that clock.
TEST_CASE("A delayed reply of an earlier process of the worker, or of another one, extends no lease")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const OutputByKind before = fixture.start(runRequest("a", 1), Start);

    const MonotonicTime restarted = Start + Milliseconds(30);
    supervisor.handleAnnouncement(announcement(1, 8), restarted);
    const OutputByKind asked(supervisor.takeOutput());
    REQUIRE(!asked.polls.empty());
    supervisor.handleReply(listedAt(20, asked.polls.back().callId, 8), restarted);
    const OutputByKind fenced(supervisor.takeOutput());
    REQUIRE(!fenced.polls.empty());
    supervisor.handleReply(listedAt(21, fenced.polls.back().callId, 8), restarted + Milliseconds(1));
    supervisor.takeOutput();

    WorkerReply delayed = GENERATE(true, false) ? accepted(before.starts[0].callId)
                                                : rejected(fenced.polls.back().callId + 1, Rejection::OtherIncarnation);
    delayed.clockMs = 500'000;
    supervisor.handleReply(delayed, restarted + Milliseconds(2));
    supervisor.takeOutput();

    const MonotonicTime started = restarted + Milliseconds(1100);
    fixture.proveEntryAlive(started);
    supervisor.requestRun(runRequest("b", 2), started);
    const OutputByKind after(supervisor.takeOutput());
    REQUIRE(after.starts.size() == 1);
    CHECK(after.starts[0].leaseEndMs <= 21 + 1100 + 600);
}

// Guards against starts beyond the capacity, or on a worker of another kind: what the former process had announced
// counted for the next one under its ID.
TEST_CASE("A worker whose restart only a listing shows gets no start before it has announced itself")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    WorkerAnnouncement labelled = announcement(2);
    labelled.labels = {"a"};
    supervisor.handleAnnouncement(labelled, Start);
    const PollRuns poll = fixture.startAndConfirm(runRequest("before", 1), Start);
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Milliseconds(10));
    const OutputByKind restarted(supervisor.takeOutput());
    REQUIRE_FALSE(restarted.polls.empty());
    supervisor.handleReply(listed(restarted.polls.back().callId, {}, {}, 8), Start + Milliseconds(11));
    REQUIRE(supervisor.isReconciled());
    supervisor.requestRun(runRequest("after", 2), Start + Milliseconds(12));
    supervisor.handleAnnouncement(labelled, Start + Milliseconds(13)); // A delayed one of the former process.
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
    CHECK(supervisor.state().worker == "worker-1");
    CHECK(supervisor.state().bornMs == 8);
    CHECK(supervisor.state().labels.empty());
    CHECK(supervisor.state().capacity == wire::WorkerState().capacity);
    CHECK(supervisor.freeCapacity() == wire::WorkerRoom());

    WorkerAnnouncement smaller = announcement(1, 8);
    smaller.service = "returns";
    smaller.capacity = {4000, 1024, 0};
    supervisor.handleAnnouncement(smaller, Start + Milliseconds(14));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
    CHECK(supervisor.state().serviceName == "returns");
    CHECK(supervisor.freeCapacity().takesRuns);
    supervisor.requestRun(runRequest("small", 3, 4000), Start + Milliseconds(15));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
}

// Guards against the same for a start that a process refuses or leaves unanswered, and that is sent again.
TEST_CASE("A start is not sent again to a restarted worker that has not announced itself")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("before", 1, 4000), Start);
    const OutputByKind sent = fixture.start(runRequest("after", 2, 4000), Start + Milliseconds(5));
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Milliseconds(10));
    supervisor.takeOutput();
    const int64_t callId = sent.starts[0].callId;
    supervisor.handleReply(GENERATE_COPY(unanswered(callId),
                                         rejected(callId, Rejection::StaleFence),
                                         rejected(callId, Rejection::OldAttempt)),
                           Start + Milliseconds(25));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
}

// Guards against runs that wait for an announcement that has come already.
TEST_CASE("A worker that announced its restart before a listing shows it gets starts at once")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns before = fixture.startAndConfirm(runRequest("before", 1), Start);
    WorkerAnnouncement next = announcement(1, 8);
    next.labels = {"b"};
    const PollRuns asked = fixture.announce(next, Start + Milliseconds(10));
    const int64_t callId = GENERATE_COPY(before.callId, asked.callId);
    supervisor.handleReply(listed(callId, {}, {}, 8), Start + Milliseconds(11));
    const OutputByKind fenced(supervisor.takeOutput());
    REQUIRE_FALSE(fenced.polls.empty());
    supervisor.handleReply(listed(fenced.polls.back().callId, {}, {}, 8), Start + Milliseconds(12));
    CHECK(supervisor.state().labels == std::vector<std::string>{"b"});
    supervisor.requestRun(runRequest("after", 2), Start + Milliseconds(13));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
}

// Guards against an idle worker that is noticed only after the announcement time-out: the announcement of a process
// that was started after the wall clock was set back was taken for one of an earlier process.
TEST_CASE("An idle worker that restarts while its clock is set back is in use as soon as it has listed its runs")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns asked = fixture.announce(announcement(1, 6), Start + Milliseconds(10));
    CHECK(asked.fence > FirstFence);
    supervisor.handleReply(listed(asked.callId, {}, {}, 6), Start + Milliseconds(11));
    const OutputByKind fenced(supervisor.takeOutput());
    REQUIRE_FALSE(fenced.polls.empty());
    supervisor.handleReply(listed(fenced.polls.back().callId, {}, {}, 6), Start + Milliseconds(12));
    CHECK(supervisor.state().bornMs == 6);
    supervisor.requestRun(runRequest("a", 1), Start + Milliseconds(13));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
}

// Guards against calls and fences without end, and against runs that end on the word of a process that has ended.
TEST_CASE("Delayed announcements of a process that has ended cost one poll and one fence, and end no run")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const bool hasRun = GENERATE(true, false);
    if (hasRun) {
        fixture.startAndConfirm(runRequest("a", 1), Start);
    }
    const std::vector<RunKey> running = hasRun ? std::vector<RunKey>{{"a", 0, 0, 1}} : std::vector<RunKey>();
    const int64_t endedStartTime = GENERATE(6, 0);
    size_t polls = 0;
    for (int ms = 10; ms < 300; ms += 10) {
        const MonotonicTime now = Start + Milliseconds(ms);
        fixture.proveEntryAlive(now);
        supervisor.handleAnnouncement(announcement(99, endedStartTime), now);
        const OutputByKind output(supervisor.takeOutput());
        CHECK(output.ends.empty());
        // Those that wait for an end keep up the lease of the run.
        polls += static_cast<size_t>(std::ranges::count(output.polls, Milliseconds(0), &PollRuns::wait));
        for (const PollRuns &poll : output.polls) {
            CHECK(poll.fence == FirstFence + 1);
            supervisor.handleReply(listed(poll.callId, running), now);
        }
        const OutputByKind after(supervisor.takeOutput());
        CHECK(after.ends.empty());
        CHECK(supervisor.state().bornMs == 7);
        CHECK(supervisor.freeCapacity().takesRuns);
    }
    CHECK(polls == 1);
}

// Guards against the same where several such processes are announced in turn: each announcement put off the decision on
// the one before.
TEST_CASE("Announcements of several processes that have ended cost at most one poll and one fence each")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    constexpr int Ended = 3;
    std::vector<int64_t> fences;
    std::vector<PollRuns> pending;
    for (int ms = 10; ms < 3000; ms += 10) {
        const MonotonicTime now = Start + Milliseconds(ms);
        supervisor.handleAnnouncement(announcement(99, 4 + ms / 10 % Ended), now);
        for (const PollRuns &poll : std::exchange(pending, {})) {
            supervisor.handleReply(listed(poll.callId, {}), now);
        }
        supervisor.tick(now);
        pending = OutputByKind(supervisor.takeOutput()).polls;
        std::ranges::transform(pending, std::back_inserter(fences), &PollRuns::fence);
        if (ms % 1500 == 0) {
            supervisor.handleAnnouncement(announcement(2 + ms), now);
        }
    }
    REQUIRE_FALSE(fences.empty());
    CHECK(fences.size() <= Ended);
    CHECK(*std::ranges::max_element(fences) <= FirstFence + Ended);
    CHECK(supervisor.state().bornMs == 7);
    CHECK(supervisor.freeCapacity().takesRuns);
}

// Guards against an agent that takes a process that has ended for the worker, which it finds again only when that one
// announces itself.
TEST_CASE("A process that is known to have ended is not adopted again while its announcements may be under way")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns asked = fixture.announce(announcement(1, 6), Start + Milliseconds(10));
    supervisor.handleReply(listed(asked.callId, {}, {}, 6), Start + Milliseconds(11));
    supervisor.takeOutput();
    REQUIRE(supervisor.state().bornMs == 6);

    supervisor.handleAnnouncement(announcement(99), Start + Milliseconds(20));
    CHECK(OutputByKind(supervisor.takeOutput()).polls.empty());
    supervisor.handleDeparture({"worker-1"}, Start);
    REQUIRE(supervisor.state().worker.empty());
    supervisor.handleAnnouncement(announcement(99), Start + Milliseconds(30));
    CHECK(supervisor.state().worker.empty());
    supervisor.handleAnnouncement(announcement(99), Start + Milliseconds(61'000));
    CHECK(supervisor.state().worker == "worker-1");
}

// Guards against a worker that is ignored although it answers.
TEST_CASE("A process whose announcement was refuted is the worker once it lists its runs")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns pending = fixture.startAndConfirm(runRequest("a", 1), Start);
    const PollRuns asked = fixture.announce(announcement(1, 8), Start + Milliseconds(10));
    supervisor.handleReply(listed(asked.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(11));
    supervisor.handleReply(listed(pending.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(12));
    const OutputByKind next(supervisor.takeOutput());
    REQUIRE_FALSE(next.polls.empty());
    supervisor.handleReply(listed(next.polls.back().callId, {}, {}, 8), Start + Milliseconds(20));
    CHECK(supervisor.state().bornMs == 8);
    supervisor.handleAnnouncement(announcement(2, 8), Start + Milliseconds(21));
    CHECK(supervisor.state().capacity.cpuMillis == announcement(2).capacity.cpuMillis);
}

// Guards against two runs of a task: the replies of a process that was started after the wall clock was set back were
// taken for those of an earlier one, and its runs for gone while their lease was renewed.
TEST_CASE("Runs of a restarted worker that reports an earlier start time are kept as long as it lists them")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    fixture.startAndConfirm(runRequest("before", 1, 4000), Start);
    OutputByKind output = fixture.start(runRequest("after", 2, 4000), Start + Milliseconds(50));
    supervisor.handleReply(accepted(output.starts[0].callId), Start + Milliseconds(51));
    int64_t sequence = 0;
    for (MonotonicTime now = Start + Milliseconds(60); now < Start + Milliseconds(6000); now += Milliseconds(20)) {
        fixture.proveEntryAlive(now);
        supervisor.handleAnnouncement(announcement(++sequence, 6), now);
        supervisor.tick(now);
        output = OutputByKind(supervisor.takeOutput());
        CHECK(std::ranges::count(output.ends, 2, [](const EndedRun &end) { return end.orderId.runNumber; }) == 0);
        for (const PollRuns &poll : output.polls) {
            supervisor.handleReply(listed(poll.callId, {{"after", 0, 0, 1}}, {}, 6), now);
        }
    }
}

// Guards against two runs of a task: the lease of a run that isn't the agent's own was renewed with that of the others
// while its stop was carried out late.
TEST_CASE("No lease is renewed while a run that the agent does not know is on the worker")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const std::vector<RunKey> both = {{"a", 0, 0, 1}, {"unknown", 0, 0, 1}};
    PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    const int64_t leaseEndMs = poll.leaseEndMs.value();
    supervisor.handleReply(listed(poll.callId, both), Start + Milliseconds(2));
    for (MonotonicTime now = Start + Milliseconds(2); now < Start + Milliseconds(1500); now += Milliseconds(20)) {
        fixture.proveEntryAlive(now);
        supervisor.tick(now);
        const OutputByKind output(supervisor.takeOutput());
        for (const StopRun &each : output.stops) {
            supervisor.handleReply(unanswered(each.callId), now);
        }
        for (const PollRuns &each : output.polls) {
            CHECK(each.leaseEndMs.value_or(0) <= leaseEndMs);
            supervisor.handleReply(listed(each.callId, both), now);
        }
    }
}

// Guards against two runs of a task: the first copy of its start may reach the new process until that one has accepted
// a higher fence, although the run was confirmed by the former process.
TEST_CASE("A run whose start was sent twice is gone after a restart only once the new process has accepted a fence")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const auto [first, second] = fixture.startTwice(runRequest("a", 1), Start + Milliseconds(20));
    supervisor.handleReply(accepted(second.starts[0].callId), Start + Milliseconds(22));
    supervisor.takeOutput();
    supervisor.tick(Start + Milliseconds(80));
    const OutputByKind later(supervisor.takeOutput());
    REQUIRE(later.polls.size() == 1);
    CHECK(later.polls[0].fence == FirstFence);

    supervisor.handleReply(listed(later.polls[0].callId, {}, {}, 8), Start + Milliseconds(90));
    const OutputByKind restarted(supervisor.takeOutput());
    CHECK(restarted.ends.empty());
    REQUIRE_FALSE(restarted.polls.empty());
    CHECK(restarted.polls.back().fence > FirstFence);
    supervisor.handleReply(listed(restarted.polls.back().callId, {}, {}, 8), Start + Milliseconds(95));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.size() == 1);
}

// Guards against two runs of a task: a delayed call with a lease end of the old clock can extend the lease until the
// new process has accepted a higher fence, not only until its restart was detected.
TEST_CASE("Runs of a restarted worker are not taken for ended before a lease granted until the fence has expired")
{
    constexpr Milliseconds Detected{310};
    constexpr Milliseconds Accepted{810};
    constexpr Milliseconds LongestLease{1020}; // 1,000 ms on a clock that is 2% slow.
    constexpr Milliseconds StopTime{50};
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("before", 1), Start);
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Detected);
    const OutputByKind restarted(supervisor.takeOutput());
    supervisor.handleReply(listed(restarted.polls.back().callId, {}, {}, 8), Start + Accepted);
    supervisor.handleAnnouncement(announcement(1, 8), Start + Accepted);
    supervisor.takeOutput();
    RunRequest request = runRequest("after", 2);
    request.startDeadline = Start + Milliseconds(4000);
    supervisor.requestRun(request, Start + Accepted);
    const auto endedAt = fixture.endWithoutAnswers(2, Start + Accepted, Start + Milliseconds(4000));
    REQUIRE(endedAt);
    CHECK(millisecondsBetween(Start, *endedAt) >= (Accepted + LongestLease + StopTime).count());
}

// Guards against starts beyond the capacity: a listing that was overtaken by a newer one said that no unknown run is
// left.
TEST_CASE("A listing under an earlier fence does not show that the worker has no unknown runs")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.tick(Start + Milliseconds(60));
    const OutputByKind second(supervisor.takeOutput());
    REQUIRE(second.polls.size() == 1);
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Milliseconds(70));
    const OutputByKind restarted(supervisor.takeOutput());
    REQUIRE_FALSE(restarted.polls.empty());
    supervisor.handleReply(listed(restarted.polls.back().callId, {{"late", 0, 0, 1}}, {}, 8), Start + Milliseconds(75));
    REQUIRE_FALSE(supervisor.isReconciled());
    supervisor.handleReply(listed(second.polls[0].callId, {}, {}, 8), Start + Milliseconds(76));
    CHECK_FALSE(supervisor.isReconciled());
}

// Guards against two runs of a task: the answer to a call to the former worker ended the runs on its successor.
TEST_CASE("A late answer of the former worker ends no run on its successor")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    fixture.startAndConfirm(runRequest("a", 1, 4000), Start);
    WorkerAnnouncement next = announcement(1, 8);
    next.identity.id = "worker-2";
    supervisor.handleAnnouncement(next, Start + Milliseconds(10));
    supervisor.takeOutput();
    const OutputByKind started = fixture.start(runRequest("b", 2, 4000), Start + Milliseconds(11));
    supervisor.withdrawRun({"entry-1", 1, 1}, Start + Milliseconds(12));
    const OutputByKind stopping(supervisor.takeOutput());
    REQUIRE(stopping.stops.size() == 1);
    // The answer to the stop overtakes those to the poll and the start.
    supervisor.handleReply(rejected(stopping.stops[0].callId, Rejection::OtherIncarnation), Start + Milliseconds(14));
    const OutputByKind adopted(supervisor.takeOutput());
    REQUIRE(supervisor.state().worker == "worker-2");
    REQUIRE_FALSE(adopted.polls.empty());
    supervisor.handleReply(listed(adopted.polls.back().callId, {}, {}, 8), Start + Milliseconds(16));
    supervisor.takeOutput();
    const OutputByKind onSuccessor = fixture.start(runRequest("c", 3, 4000), Start + Milliseconds(17));
    CHECK(onSuccessor.starts[0].target.id == "worker-2");
    supervisor.handleReply(accepted(onSuccessor.starts[0].callId), Start + Milliseconds(18));
    supervisor.takeOutput();

    supervisor.handleReply(rejected(started.starts[0].callId, Rejection::OtherIncarnation), Start + Milliseconds(20));
    const OutputByKind after(supervisor.takeOutput());
    CHECK(std::ranges::count(after.ends, 3, [](const EndedRun &end) { return end.orderId.runNumber; }) == 0);
}

// Guards against two runs of a task: the lease counted as expired although earlier calls could still extend it.
TEST_CASE("Runs of a restarted worker are not taken for ended by a lease while the new process has accepted no fence")
{
    const Milliseconds timeout = WorkerTiming().announcementTimeout;
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1, 4000), Start);
    supervisor.requestRun(runRequest("b", 2, 4000), Start + Milliseconds(2));
    REQUIRE(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
    supervisor.handleReply(listed(poll.callId, {}, {}, 8), Start + Milliseconds(10));
    const auto endedAt = fixture.endWithoutAnswers(2, Start + Milliseconds(20), Start + 2 * timeout);
    REQUIRE(endedAt);
    CHECK(*endedAt >= Start + timeout);
}

// Guards against two runs of a task: a listing from before an unknown run, or one that can't be read in full, let the
// lease of that run be renewed.
TEST_CASE("Only a later and complete listing shows that an unknown run is gone")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const RunKey known{"a", 0, 0, 1};
    const PollRuns first = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.tick(Start + Milliseconds(60));
    const OutputByKind second(supervisor.takeOutput());
    REQUIRE(second.polls.size() == 1);
    supervisor.handleReply(listed(second.polls[0].callId, {known, {"unknown", 0, 0, 1}}), Start + Milliseconds(70));
    supervisor.handleReply(listed(first.callId, {known}), Start + Milliseconds(71));
    const int64_t leaseEndMs = second.polls[0].leaseEndMs.value();
    const auto nextPoll = [&](MonotonicTime now) {
        fixture.proveEntryAlive(now);
        supervisor.tick(now);
        return OutputByKind(supervisor.takeOutput()).polls.back();
    };
    const PollRuns third = nextPoll(Start + Milliseconds(200));
    CHECK(third.leaseEndMs.value() <= leaseEndMs);
    WorkerReply incomplete = listed(third.callId, {known});
    incomplete.listing->isComplete = false;
    supervisor.handleReply(incomplete, Start + Milliseconds(201));
    const PollRuns fourth = nextPoll(Start + Milliseconds(320));
    CHECK(fourth.leaseEndMs.value() <= leaseEndMs);
    WorkerReply complete = listed(fourth.callId, {known});
    complete.clockMs = 520;
    supervisor.handleReply(complete, Start + Milliseconds(321));
    CHECK(OutputByKind(supervisor.takeOutput()).polls.back().leaseEndMs.value() > leaseEndMs);
}

// Guards against two runs of a task: an earlier start reached the next process under the same ID.
TEST_CASE("A worker that comes back after it has left has to accept a higher fence")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    supervisor.handleDeparture({"worker-1"}, Start);
    REQUIRE(supervisor.state().worker.empty());
    supervisor.handleAnnouncement(announcement(1, 8), Start + Milliseconds(100));
    CHECK(OutputByKind(supervisor.takeOutput()).polls.at(0).fence > FirstFence);
}

// Guards against runs that are never given up: the lease of a worker that refuses its polls counted as renewed.
TEST_CASE("Runs of a worker that refuses all polls are gone once their lease must have expired")
{
    ReconciledSupervisor fixture(Start - Milliseconds(1100));
    WorkerSupervisor &supervisor = fixture.supervisor;
    PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    supervisor.handleReply(rejected(poll.callId, Rejection::Unhealthy), Start + Milliseconds(2));
    int64_t polls = 0;
    size_t ends = 0;
    for (MonotonicTime now = Start + Milliseconds(3); now < Start + Milliseconds(1000); now += Milliseconds(1)) {
        fixture.proveEntryAlive(now);
        supervisor.tick(now);
        const OutputByKind output(supervisor.takeOutput());
        polls += std::ssize(output.polls);
        ends += output.ends.size();
        for (const PollRuns &each : output.polls) {
            supervisor.handleReply(rejected(each.callId, Rejection::Unhealthy), now);
        }
    }
    CHECK(ends == 1);
    CHECK(polls <= 1000 / WorkerTiming().retryDelay.count() + 1);
}
