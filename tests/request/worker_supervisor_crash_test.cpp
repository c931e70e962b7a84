#include "tests/support/supervisor_fixture.h"

#include <algorithm>

using namespace marjoramferry;
using namespace marjoramferry::testing;

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
