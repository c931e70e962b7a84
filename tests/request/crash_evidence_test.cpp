#include "tests/support/supervisor_fixture.h"

#include <algorithm>
#include <vector>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** A supervisor with one confirmed run, whose worker has refused a connection 20 ms after the start. */
struct RefusedSupervisor : ReconciledSupervisor
{
    std::vector<int64_t> pendingPolls;

    RefusedSupervisor()
    {
        const PollRuns poll = startAndConfirm(runRequest("a", 1), Start);
        supervisor.handleReply(refused(poll.callId), Start + Milliseconds(20));
        const WorkerSupervisor::Output output = takeOutput();
        REQUIRE(output.crashes.size() == 1);
        CHECK(output.crashes[0].status == wire::CrashStatus::SUSPECTED);
    }

    WorkerSupervisor::Output takeOutput()
    {
        WorkerSupervisor::Output output = supervisor.takeOutput();
        for (const PollRuns &poll : OutputByKind(output).polls) {
            pendingPolls.push_back(poll.callId);
        }
        return output;
    }

    /** Advances the time until a poll is pending, and returns its id. */
    int64_t awaitPoll(Milliseconds from)
    {
        for (Milliseconds at = from; pendingPolls.empty() && at < from + Milliseconds(250); at += Milliseconds(10)) {
            supervisor.tick(Start + at);
            takeOutput();
        }
        REQUIRE_FALSE(pendingPolls.empty());
        const int64_t poll = pendingPolls.back();
        pendingPolls.pop_back();
        return poll;
    }

    /** Has the same process list its run, which disproves the crash. */
    WorkerSupervisor::Output answer(Milliseconds from)
    {
        supervisor.handleReply(listed(awaitPoll(from), {{"a", 0, 0, 1}}), Start + from);
        return takeOutput();
    }
};

} // namespace

TEST_CASE("A crash that is only suspected is retracted once when the same process answers a later call")
{
    RefusedSupervisor fixture;
    const WorkerSupervisor::Output output = fixture.answer(Milliseconds(150));
    REQUIRE(output.crashes.size() == 1);
    CHECK(output.crashes[0]
          == WorkerCrash{{"worker-1", 7}, Start + Milliseconds(20), {}, wire::CrashStatus::RETRACTED});
    CHECK(fixture.answer(Milliseconds(400)).crashes.empty());
}

// Guards against an answer that the process sent before it crashed.
TEST_CASE("An answer to a call that was sent before the refused connection does not retract the report")
{
    ReconciledSupervisor fixture;
    const PollRuns poll = fixture.startAndConfirm(runRequest("a", 1), Start);
    fixture.supervisor.tick(Start + Milliseconds(60));
    const OutputByKind second(fixture.supervisor.takeOutput());
    REQUIRE(second.polls.size() == 1);
    fixture.supervisor.handleReply(refused(second.polls[0].callId), Start + Milliseconds(70));
    REQUIRE(fixture.supervisor.takeOutput().crashes.size() == 1);
    fixture.supervisor.handleReply(listed(poll.callId, {{"a", 0, 0, 1}}), Start + Milliseconds(71));
    CHECK(fixture.supervisor.takeOutput().crashes.empty());
}

// Guards against a task that is started elsewhere before its crash counts, and against a wrong time of the crash.
TEST_CASE("A suspected crash is detected when a later call is refused, at the latest with the ends of its runs")
{
    RefusedSupervisor fixture;
    SECTION("a later call is refused")
    {
        fixture.supervisor.handleReply(refused(fixture.awaitPoll(Milliseconds(100))), Start + Milliseconds(130));
    }
    SECTION("the lease expires")
    {
        fixture.supervisor.tick(Start + Milliseconds(2000));
    }
    SECTION("another worker is at the address")
    {
        fixture.supervisor.handleReply(rejected(fixture.awaitPoll(Milliseconds(100)), Rejection::OtherIncarnation),
                                       Start + Milliseconds(130));
    }
    const WorkerSupervisor::Output output = fixture.takeOutput();
    REQUIRE(output.crashes.size() == 1);
    CHECK(output.crashes[0].status == wire::CrashStatus::DETECTED);
    CHECK(output.crashes[0].at == Start + Milliseconds(20));
    CHECK(output.crashes[0].runs == std::vector{CrashedRun{{"a", 0, 0, 1}, "", 20}});
}

// Guards against a report for each refusal of a flapping link, sent to each entry.
TEST_CASE("After a retraction a refused connection is reported only once the lease has expired")
{
    RefusedSupervisor fixture;
    CHECK(fixture.answer(Milliseconds(150)).crashes.size() == 1);
    for (Milliseconds at{400}; at < Milliseconds(5000); at += Milliseconds(500)) {
        fixture.supervisor.handleReply(refused(fixture.awaitPoll(at)), Start + at);
        CHECK(fixture.answer(at + Milliseconds(150)).crashes.empty());
    }
    fixture.supervisor.handleReply(refused(fixture.awaitPoll(Milliseconds(5000))), Start + Milliseconds(5250));
    fixture.supervisor.tick(Start + Milliseconds(7000));
    const WorkerSupervisor::Output output = fixture.takeOutput();
    REQUIRE(output.crashes.size() == 1);
    CHECK(output.crashes[0].at == Start + Milliseconds(5250));
    CHECK(std::ranges::any_of(output.ends, [](const EndedRun &end) { return end.reason == "worker_crashed"; }));
}
