#include "tests/support/two_agents.h"

using namespace marjoramferry;
using namespace marjoramferry::testing;

// Guards against a second run of a task: an agent that restarted was told of another worker first, and what it had
// cleared there counted for the worker on which its earlier incarnation's runs went on under their lease.
TEST_CASE("Runs of an agent that restarted are not lost on the word of another worker before their lease has ended")
{
    TwoAgents fixture;
    fixture.orderRunOnOther(Start);
    wire::AgentBatch restarted = fixture.restartedBatchOf(fixture.other);
    restarted.worker.worker = "successor";
    const LinkId link = static_cast<unsigned char>(fixture.other[0]);
    const auto connect = [&](MonotonicTime now) {
        fixture.directory.handleLinkClosed(link);
        fixture.directory.handleBatch(link, restarted, now);
        restarted.session = fixture.viewOf(fixture.other).session;
        CHECK_FALSE(fixture.directory.handleBatch(link, restarted, now)->firstLiveSession);
    };
    connect(Start + Milliseconds(100));
    restarted.incarnation = fixture.other + "-3"; // Its predecessor had runs on neither, but may have had some.
    connect(Start + Milliseconds(200));

    // The predecessor's last message came 100 ms after the start.
    const MonotonicTime lastEnd = Start + Milliseconds(100) + WorkerDirectoryOptions().sessionTimeout;
    restarted.sentAtUs = 2;
    CHECK_FALSE(fixture.directory.handleBatch(link, restarted, lastEnd)->firstLiveSession);
    restarted.sentAtUs = 3;
    const auto update = fixture.directory.handleBatch(link, restarted, lastEnd + Milliseconds(1));
    CHECK(update->firstLiveSession == fixture.viewOf(fixture.other).session);
}

// Guards against runs that stay open until the deadline of their job: agent and worker ended together, and the agent
// came back without a worker, so it cleared nothing.
TEST_CASE("Runs of an agent that restarted and clears nothing are lost once their lease has ended, and no others")
{
    TwoAgents fixture;
    fixture.orderRunOnOther(Start);
    wire::AgentBatch restarted = fixture.restartedBatchOf(fixture.other);
    restarted.cleared = false;
    restarted.worker = wire::WorkerState();
    restarted.room.takesRuns = false;
    const LinkId link = static_cast<unsigned char>(fixture.other[0]);
    fixture.directory.handleLinkClosed(link);
    fixture.directory.handleBatch(link, restarted, Start + Milliseconds(100));
    WorkerView &view = fixture.viewOf(fixture.other);
    const int64_t session = view.session;
    restarted.session = session;

    const MonotonicTime lastEnd = Start + WorkerDirectoryOptions().sessionTimeout;
    if (GENERATE(false, true)) { // Whether it has another worker by then.
        restarted.worker.worker = "successor";
        restarted.room.takesRuns = true;
    }
    const auto tick = [&](MonotonicTime now) {
        restarted.sentAtUs += 1;
        CHECK_FALSE(fixture.directory.handleBatch(link, restarted, now)->firstLiveSession);
        fixture.sendBatches(now);
        return fixture.directory.expireSilentSessions(now);
    };
    CHECK(tick(Start + Milliseconds(1000)).empty());
    fixture.directory.orderRun(view, wire::RunOrder(), Start + Milliseconds(1000));
    CHECK(tick(lastEnd).empty());
    const auto ended = tick(lastEnd + Milliseconds(1));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].agent == fixture.other);
    CHECK(ended[0].firstLiveSession == session);
    CHECK(view.session == session);
    CHECK(view.openRuns == 1);
    CHECK(tick(lastEnd + Milliseconds(2)).empty());
}

// Guards against two runs of a task: a start of the agent's earlier incarnation was executed late, the restarted agent
// saw that run, and the entry started the task elsewhere once the lease that the run would have had was over.
TEST_CASE("Runs of an agent that restarted are not lost while it sees a run on the worker that it has not started")
{
    constexpr Milliseconds Step{100};
    const Milliseconds sessionTimeout = WorkerDirectoryOptions().sessionTimeout;
    TwoAgents fixture;
    fixture.orderRunOnOther(Start);
    wire::AgentBatch restarted = fixture.restartedBatchOf(fixture.other);
    restarted.cleared = false;
    const LinkId link = static_cast<unsigned char>(fixture.other[0]);
    fixture.directory.handleLinkClosed(link);
    fixture.directory.handleBatch(link, restarted, Start + Step);
    restarted.session = fixture.viewOf(fixture.other).session;
    const auto isEnded = [&](MonotonicTime now) {
        restarted.sentAtUs += 1;
        const bool isCleared = fixture.directory.handleBatch(link, restarted, now)->firstLiveSession.has_value();
        return isCleared || !fixture.directory.expireSilentSessions(now).empty();
    };
    restarted.hasUnknownRuns = true;
    MonotonicTime now = Start + Step;
    for (; now < Start + sessionTimeout + Milliseconds(700); now += Step) {
        CHECK_FALSE(isEnded(now));
    }
    restarted.hasUnknownRuns = false;
    if (GENERATE(true, false)) {
        restarted.cleared = true;
        CHECK(isEnded(now));
        return;
    }
    // The worker has not answered since.
    CHECK_FALSE(isEnded(now));
    CHECK(isEnded(now + sessionTimeout));
}

TEST_CASE(
    "Runs of an agent that restarted and then fell silent before it cleared them are lost after the session time-out")
{
    TwoAgents fixture;
    fixture.directory.orderRun(fixture.viewOf(fixture.member), wire::RunOrder(), Start);
    wire::AgentBatch restarted = fixture.batchOf(fixture.member, 1);
    restarted.incarnation = fixture.member + "-2";
    restarted.cleared = false;
    fixture.directory.handleLinkClosed(fixture.member[0]);
    fixture.directory.handleBatch(fixture.member[0], restarted, Start + Milliseconds(100));
    // The time-out counts from the last message of the incarnation that had the runs.
    const MonotonicTime lastEnd = Start + WorkerDirectoryOptions().sessionTimeout;
    CHECK(fixture.directory.expireSilentSessions(lastEnd).empty());
    const auto expired = fixture.directory.expireSilentSessions(lastEnd + Milliseconds(1));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].firstLiveSession == fixture.viewOf(fixture.member).session);
    CHECK(fixture.directory.expireSilentSessions(Start + Milliseconds(9000)).empty());
}
