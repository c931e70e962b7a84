#include "tests/support/supervisor_fixture.h"

#include <algorithm>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

constexpr int64_t NextStartTimeMs = 8;
const RunKey First{"a", 0, 0, 1}; ///< The run whose start is unanswered.
const RunKey Second{"a", 0, 0, 2}; ///< The next run of its task.

RunRequest request(const RunKey &key, int64_t runNumber)
{
    RunRequest result = runRequest(key.jobId, runNumber);
    result.key = key;
    return result;
}

/** Answers the polls of @p output, and returns the output that follows. */
OutputByKind answer(WorkerSupervisor &supervisor,
                    const OutputByKind &output,
                    const std::vector<RunKey> &running,
                    int64_t startTimeMs,
                    MonotonicTime now,
                    const std::vector<ListedEnd> &ended = {})
{
    for (const PollRuns &poll : output.polls) {
        supervisor.handleReply(listed(poll.callId, running, ended, startTimeMs), now);
    }
    return OutputByKind(supervisor.takeOutput());
}

/** The output of a tick, with the polls of @p output, which are unanswered. */
OutputByKind tickOnce(WorkerSupervisor &supervisor, const OutputByKind &output, MonotonicTime now)
{
    supervisor.tick(now);
    OutputByKind ticked(supervisor.takeOutput());
    ticked.polls.insert(ticked.polls.begin(), output.polls.begin(), output.polls.end());
    return ticked;
}

/** A supervisor that runs the second run of a task, and has had no answer to the start of the first one. */
struct UnansweredFirstStart : ReconciledSupervisor
{
    std::optional<PollRuns> earlier; ///< Sent with the first start, and not answered.
    PollRuns pending; ///< Sent after the second run was confirmed.

    UnansweredFirstStart()
        : ReconciledSupervisor(Start - Milliseconds(1100))
        , pending(startSecondRun())
    {
    }

    /** Ticks each 20 ms until @p until, and answers no call. Returns when an end was reported. */
    std::optional<MonotonicTime> endInSilence(MonotonicTime from, MonotonicTime until)
    {
        for (MonotonicTime now = from; now < until; now += Milliseconds(20)) {
            proveEntryAlive(now);
            supervisor.tick(now);
            const OutputByKind output(supervisor.takeOutput());
            if (!output.ends.empty()) {
                return now;
            }
            for (const PollRuns &each : output.polls) {
                supervisor.handleReply(unanswered(each.callId), now);
            }
        }
        return std::nullopt;
    }

    /** Lets the next process of the worker list the first run at @p seen, and accept the raised fence after that. */
    OutputByKind executeFirstLate(MonotonicTime seen)
    {
        supervisor.handleReply(listed(pending.callId, {First}, {}, NextStartTimeMs), seen);
        const OutputByKind restarted(supervisor.takeOutput());
        CHECK(restarted.ends.empty());
        return answer(supervisor, restarted, {First}, NextStartTimeMs, seen + Milliseconds(1));
    }

private:
    PollRuns startSecondRun()
    {
        const auto [first, second] = startTwice(request(First, 1), Start + Milliseconds(20));
        earlier = first.polls.at(0);
        supervisor.handleReply(unanswered(second.starts[0].callId), Start + Milliseconds(60));
        const OutputByKind fenced(supervisor.takeOutput());
        const OutputByKind resolved = answer(supervisor, fenced, {}, 7, Start + Milliseconds(61));
        REQUIRE(resolved.ends.size() == 1);
        CHECK(resolved.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
        return startAndConfirm(request(Second, 2), Start + Milliseconds(70));
    }
};

} // namespace

// Guards against two runs of a task: the next process of the worker executes an earlier start, and its first listing
// ended the present run, which the entry started again elsewhere.
TEST_CASE("A run is not reported as ended while the listing has another run of its task")
{
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    MonotonicTime now = Start + Milliseconds(100);
    supervisor.handleReply(listed(fixture.pending.callId, {First}, {}, NextStartTimeMs), now);
    OutputByKind output(supervisor.takeOutput());
    CHECK(output.ends.empty());
    // The stops are lost, so the run goes on.
    for (int i = 0; i < 20; ++i) {
        now += Milliseconds(20);
        fixture.proveEntryAlive(now);
        output = answer(supervisor, tickOnce(supervisor, output, now), {First}, NextStartTimeMs, now);
        CHECK(output.ends.empty());
    }
    now += Milliseconds(100);
    output = tickOnce(supervisor, output, now);
    REQUIRE_FALSE(output.polls.empty());
    output = answer(supervisor, output, {}, NextStartTimeMs, now, {{1, First, EndKind::Stopped}});
    REQUIRE(output.ends.size() == 1);
    CHECK(output.ends[0].orderId.runNumber == 2);
    CHECK(output.ends[0].outcome == wire::RunOutcome::GONE);
}

// Guards against the same where the agent has not learned of the next process, which refuses the start: a rejection
// doesn't show what else runs there.
TEST_CASE("A rejected start of a task that has an unanswered one is reported by a listing without a run of the task")
{
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    MonotonicTime now = Start + Milliseconds(100);
    supervisor.handleReply(listed(fixture.pending.callId, {}, {{1, Second, EndKind::Failed}}), now);
    CHECK(OutputByKind(supervisor.takeOutput()).ends.size() == 1);
    const OutputByKind started = fixture.start(request({"a", 0, 0, 3}, 3), now);
    supervisor.handleReply(rejected(started.starts[0].callId, Rejection::InsufficientCapacity), now + Milliseconds(1));
    OutputByKind output(supervisor.takeOutput());
    CHECK(output.ends.empty());
    REQUIRE(output.polls.size() == 1);
    CHECK(output.polls[0].wait == Milliseconds(0));
    const bool hasStartedLate = GENERATE(true, false);
    const std::vector<RunKey> running = hasStartedLate ? std::vector<RunKey>{First} : std::vector<RunKey>();
    output = answer(supervisor, output, running, NextStartTimeMs, now + Milliseconds(2));
    CHECK(output.ends.empty() == hasStartedLate);
}

// Guards against a start beside a run that an announced process may have executed late.
TEST_CASE("An order for a task that has an unanswered start waits until the announced process is known")
{
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const MonotonicTime now = Start + Milliseconds(100);
    supervisor.handleReply(listed(fixture.pending.callId, {}, {{1, Second, EndKind::Failed}}), now);
    supervisor.takeOutput();
    const PollRuns asked = fixture.announce(announcement(1, NextStartTimeMs), now);
    supervisor.requestRun(request({"a", 0, 0, 3}, 3), now);
    CHECK(OutputByKind(supervisor.takeOutput()).starts.empty());
    supervisor.handleReply(listed(asked.callId, {}), now + Milliseconds(1));
    CHECK(OutputByKind(supervisor.takeOutput()).starts.size() == 1);
}

// Guards against a wait that an ordinary crash doesn't need.
TEST_CASE("A run whose task has no unanswered start ends with the first listing after a restart")
{
    ReconciledSupervisor fixture;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    fixture.supervisor.handleReply(listed(poll.callId, {{"other", 0, 0, 1}}, {}, NextStartTimeMs),
                                   Start + Milliseconds(10));
    CHECK(OutputByKind(fixture.supervisor.takeOutput()).ends.size() == 1);
}

// Guards against an end that is never reported, and against one that the silence of a worker brings before the lease
// of the other run is over: a start of the former process's clock is granted the longest lease.
TEST_CASE("An end that another run of the task withholds is reported once the lease of that run must be over")
{
    constexpr Milliseconds LongestLease{1020}; // 1,000 ms on a clock that is 2% slow.
    UnansweredFirstStart fixture;
    const MonotonicTime seen = Start + Milliseconds(100);
    OutputByKind output = fixture.executeFirstLate(seen);
    CHECK(output.ends.empty());
    const auto endedAt = fixture.endInSilence(seen + Milliseconds(2), seen + Milliseconds(3000));
    REQUIRE(endedAt);
    CHECK(*endedAt - seen >= LongestLease);
    CHECK(*endedAt - seen <= LongestLease + Milliseconds(250));
}

// Guards against two runs of a task: the order was rejected at its deadline, and the entry placed the task elsewhere.
TEST_CASE("An order is not rejected while the worker has another run of its task")
{
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    MonotonicTime now = Start + Milliseconds(100);
    supervisor.handleReply(listed(fixture.pending.callId, {{"b", 0, 0, 1}}, {}, NextStartTimeMs), now);
    OutputByKind output(supervisor.takeOutput());
    RunRequest order = request({"b", 0, 0, 2}, 3);
    order.startDeadline = now + Milliseconds(250);
    supervisor.requestRun(order, now);
    const bool isWithdrawn = GENERATE(true, false);
    if (isWithdrawn) {
        supervisor.withdrawRun(order.orderId, now);
    }
    const auto isOfOrder = [](const EndedRun &end) { return end.orderId.runNumber == 3; };
    for (int i = 0; i < 20; ++i) {
        now += Milliseconds(20);
        fixture.proveEntryAlive(now);
        const OutputByKind ticked = tickOnce(supervisor, output, now);
        CHECK(ticked.starts.empty());
        output = answer(supervisor, ticked, {{"b", 0, 0, 1}}, NextStartTimeMs, now);
        CHECK(std::ranges::none_of(output.ends, isOfOrder));
    }
    now += Milliseconds(100);
    output = answer(supervisor, tickOnce(supervisor, output, now), {}, NextStartTimeMs, now);
    CHECK(std::ranges::count_if(output.ends, isOfOrder) == 1);
}

// Guards against two runs of a task, one of each entry: a job was sent again to another entry, whose order was rejected
// at its deadline and placed elsewhere.
TEST_CASE("An order is not rejected while another entry's run of its task is on the worker")
{
    ReconciledSupervisor fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    RunRequest second = runRequest("a", 1);
    second.orderId.entryIncarnation = "entry-2";
    supervisor.requestRun(second, Start + Milliseconds(2));
    fixture.proveEntryAlive(Start + Milliseconds(260));
    supervisor.tick(Start + Milliseconds(260));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.empty());
    supervisor.handleReply(listed(poll.callId, {}, {{1, First, EndKind::Stopped}}), Start + Milliseconds(262));
    CHECK(OutputByKind(supervisor.takeOutput()).ends.size() == 2);
}

// Guards against a worker that is forgotten, with an answer to the next order, while a run may be on it.
TEST_CASE("A worker that leaves with an unknown run is known until that run is gone")
{
    ReconciledSupervisor fixture(Start - Milliseconds(1100));
    WorkerSupervisor &supervisor = fixture.supervisor;
    const PollRuns poll = fixture.startAndConfirm(runRequest("b", 1), Start);
    MonotonicTime now = Start + Milliseconds(10);
    supervisor.handleReply(listed(poll.callId, {First}, {}, NextStartTimeMs), now);
    supervisor.handleDeparture({"worker-1"}, Start);
    RunRequest order = request(Second, 2);
    supervisor.requestRun(order, now);
    const OutputByKind left(supervisor.takeOutput());
    CHECK(std::ranges::none_of(left.ends, [](const EndedRun &end) { return end.orderId.runNumber == 2; }));
    const OutputByKind gone = answer(supervisor, left, {}, NextStartTimeMs, now + Milliseconds(1));
    CHECK(std::ranges::any_of(gone.ends, [](const EndedRun &end) { return end.orderId.runNumber == 2; }));
    supervisor.tick(now + Milliseconds(20));
    CHECK(supervisor.state().worker.empty());
}

// Guards against a task whose end is held back although no run of it is needed any more.
TEST_CASE("A run that is done is reported at once, also beside another run of its task")
{
    UnansweredFirstStart fixture;
    fixture.supervisor.handleReply(listed(fixture.pending.callId, {First}, {{1, Second, EndKind::Done}}),
                                   Start + Milliseconds(100));
    const OutputByKind output(fixture.supervisor.takeOutput());
    REQUIRE(output.ends.size() == 1);
    CHECK(output.ends[0].outcome == wire::RunOutcome::DONE);
}

// Guards against a restarted worker that executes earlier starts for half a second, until the agent's first call.
TEST_CASE("A worker without connections is called at each tick while a start is unanswered, and later rarely")
{
    const bool isRefused = GENERATE(true, false);
    constexpr Milliseconds Tick{20};
    constexpr Milliseconds RareDelay{375}; // 500 ms, shortened by a quarter.
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    supervisor.handleReply(unanswered(fixture.pending.callId), Start + Milliseconds(100));
    const WorkerTiming timing;
    MonotonicTime lastPollAt = Start + Milliseconds(100);
    Milliseconds longestWhileUnanswered{0};
    Milliseconds shortestLater = timing.lateCallTime;
    for (MonotonicTime now = lastPollAt; now < Start + 2 * timing.lateCallTime; now += Tick) {
        supervisor.tick(now);
        const OutputByKind output(supervisor.takeOutput());
        if (output.polls.empty()) {
            continue;
        }
        const Milliseconds gap(millisecondsBetween(lastPollAt, now));
        if (now < Start + timing.lateCallTime) {
            longestWhileUnanswered = std::max(longestWhileUnanswered, gap);
        } else if (now > Start + timing.lateCallTime + Milliseconds(2000)) {
            shortestLater = std::min(shortestLater, gap);
        }
        lastPollAt = now;
        for (const PollRuns &each : output.polls) {
            WorkerReply reply = unanswered(each.callId);
            reply.outcome = isRefused ? CallOutcome::NotSent : CallOutcome::Unresolved;
            reply.isRefused = isRefused;
            reply.isBrokenOff = !isRefused;
            supervisor.handleReply(reply, now);
        }
    }
    CHECK(longestWhileUnanswered <= Tick);
    CHECK(shortestLater >= RareDelay);
}

// Guards against the same for a worker without runs, whose end the agent would not notice.
TEST_CASE("A poll is pending at an idle worker while a start is unanswered, and no longer")
{
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const MonotonicTime done = Start + Milliseconds(100);
    supervisor.handleReply(unanswered(fixture.earlier->callId), done);
    supervisor.handleReply(listed(fixture.pending.callId, {}, {{1, Second, EndKind::Done}}), done);
    OutputByKind output(supervisor.takeOutput());
    REQUIRE(output.polls.size() == 1);
    CHECK(output.polls[0].wait == WorkerTiming().maxPollWait);
    CHECK_FALSE(output.polls[0].leaseEndMs);
    const MonotonicTime settled = done + WorkerTiming().lateCallTime;
    supervisor.tick(settled);
    output = answer(supervisor, output, {}, 7, settled);
    CHECK(output.polls.empty());
}

// Guards against a stop of which the agent learns only with its next poll, 100 ms later.
TEST_CASE("The poll after a listing with an unknown run is answered with the end of that run")
{
    UnansweredFirstStart fixture;
    WorkerSupervisor &supervisor = fixture.supervisor;
    const MonotonicTime seen = Start + Milliseconds(100);
    OutputByKind output = fixture.executeFirstLate(seen);
    supervisor.tick(seen + Milliseconds(20));
    output = OutputByKind(supervisor.takeOutput());
    REQUIRE(output.polls.size() == 1);
    CHECK(output.polls[0].wait > Milliseconds(0));
}
