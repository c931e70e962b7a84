#include "tests/support/two_agents.h"

#include <algorithm>
#include <map>
#include <vector>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** The message sent to the agent now, if any. */
std::optional<wire::EntryBatch> sendDueBatch(WorkerDirectory &directory, MonotonicTime now)
{
    directory.updateActivity(OperatorStateCache(), now);
    directory.sendBatches(OperatorStateCache(), false, false, now);
    for (WorkCommand &command : directory.takeCommands()) {
        if (const auto *message = std::get_if<SendToLink>(&command)) {
            return std::get<wire::EntryBatch>(message->message);
        }
    }
    return std::nullopt;
}

/** The links that were closed since the last call. */
std::vector<LinkId> closedLinks(WorkerDirectory &directory)
{
    std::vector<LinkId> links;
    for (const WorkCommand &command : directory.takeCommands()) {
        if (const auto *close = std::get_if<CloseLink>(&command)) {
            links.push_back(close->link);
        }
    }
    return links;
}

/** A message of the agent that reports the end of one run. */
wire::AgentBatch batchWithRunEnd(const WorkerDirectory &directory, bool isLeaving)
{
    wire::AgentBatch batch = batchFrom("first", 20);
    batch.entryIncarnation = "entry-1";
    batch.session = directory.views().at("agent").session;
    batch.firstSequence = 1;
    batch.ends.resize(1);
    batch.leaving = isLeaving;
    return batch;
}

} // namespace

TEST_CASE("An agent outside of the subset is put on standby and gets a message every few seconds")
{
    TwoAgents fixture;
    const auto first = fixture.sendBatches(Start);
    CHECK_FALSE(first.at(fixture.member).standby);
    CHECK(first.at(fixture.other).standby);
    int messages = 0;
    for (int ms = 50; ms <= 12'000; ms += 50) {
        if (ms % 4000 == 0) {
            for (const std::string &agent : {fixture.member, fixture.other}) {
                fixture.directory.handleBatch(agent[0], fixture.batchOf(agent, ms), Start + Milliseconds(ms));
            }
        }
        messages += static_cast<int>(fixture.sendBatches(Start + Milliseconds(ms)).count(fixture.other));
    }
    CHECK(messages >= 3);
    CHECK(messages <= 4);
}

TEST_CASE("A worker on standby is activated at once, and returns to standby if it takes no run")
{
    TwoAgents fixture;
    fixture.sendBatches(Start);
    const MonotonicTime activated = Start + Milliseconds(100);
    fixture.activateOther(activated);
    CHECK_FALSE(fixture.sendBatches(activated).at(fixture.other).standby);
    // It takes runs only after its agent has reported its current state.
    CHECK_FALSE(fixture.directory.isUsable(fixture.viewOf(fixture.other), Start + Milliseconds(500)));
    fixture.directory.handleBatch(fixture.other[0], fixture.batchOf(fixture.other, 2), activated + Milliseconds(5));
    CHECK(fixture.directory.isUsable(fixture.viewOf(fixture.other), activated + Milliseconds(5)));
    fixture.sendBatches(activated + Milliseconds(1900));
    CHECK(fixture.directory.activeViews().size() == 2);
    fixture.sendBatches(activated + Milliseconds(2100));
    CHECK(fixture.directory.activeViews().size() == 1);
}

TEST_CASE("A worker outside of the subset stays active until its runs have ended or its session has expired")
{
    TwoAgents fixture;
    WorkerView &view = fixture.orderRunOnOther(Start);
    const int64_t session = view.session;
    fixture.sendBatches(Start + Milliseconds(10));
    wire::AgentBatch report = fixture.batchOf(fixture.other, 3);
    report.acknowledged = 1;
    fixture.directory.handleBatch(fixture.other[0], report, Start + Milliseconds(1000));
    fixture.sendBatches(Start + Milliseconds(2800));
    CHECK(fixture.directory.activeViews().size() == 2);
    if (GENERATE(true, false)) {
        report.firstSequence = 1;
        report.ends.resize(1);
        report.sentAtUs = 4;
        fixture.directory.handleBatch(fixture.other[0], report, Start + Milliseconds(2800));
        CHECK(fixture.directory.expireSilentSessions(Start + Milliseconds(9000)).empty());
        CHECK(view.session == session);
    } else {
        CHECK(fixture.directory.expireSilentSessions(Start + Milliseconds(2900)).size() == 1);
        CHECK(view.session > session);
    }
    fixture.sendBatches(Start + Milliseconds(9000));
    CHECK(fixture.directory.activeViews().size() == 1);
}

TEST_CASE("An agent that restarted with runs of the entry stays active until it has cleared them")
{
    TwoAgents fixture;
    fixture.orderRunOnOther(Start);
    wire::AgentBatch restarted = fixture.restartedBatchOf(fixture.other);
    restarted.cleared = false;
    fixture.directory.handleLinkClosed(fixture.other[0]);
    fixture.directory.handleBatch(fixture.other[0], restarted, Start + Milliseconds(100));
    fixture.sendBatches(Start + Milliseconds(5000));
    CHECK(fixture.directory.activeViews().size() == 2);
    restarted.cleared = true;
    restarted.sentAtUs = 2;
    CHECK_FALSE(
        fixture.directory.handleBatch(fixture.other[0], restarted, Start + Milliseconds(5000))->firstLiveSession);
    restarted.session = fixture.viewOf(fixture.other).session;
    restarted.sentAtUs = 3;
    CHECK(fixture.directory.handleBatch(fixture.other[0], restarted, Start + Milliseconds(5000))->firstLiveSession);
    fixture.sendBatches(Start + Milliseconds(5010));
    CHECK(fixture.directory.activeViews().size() == 1);
}

TEST_CASE("The first agent of the subset gets a new operator state, and another one if it asks")
{
    TwoAgents fixture;
    OperatorStateCache cache;
    wire::OperatorState state;
    state.position = 3;
    state.configurationVersion = 1;
    cache.updateIfNewer(state);
    const auto statesSent = [&](MonotonicTime now) {
        fixture.directory.sendBatches(cache, false, false, now);
        std::string agents;
        for (WorkCommand &command : fixture.directory.takeCommands()) {
            if (const auto *message = std::get_if<SendToLink>(&command)) {
                const auto &batch = std::get<wire::EntryBatch>(message->message);
                agents += batch.__isset.operatorState ? std::string(1, static_cast<char>(message->link)) : "";
            }
        }
        return agents;
    };
    CHECK(statesSent(Start) == fixture.member);
    CHECK(statesSent(Start + Milliseconds(200)).empty());
    wire::AgentBatch request = fixture.batchOf(fixture.other, 2);
    request.wantsOperatorState = true;
    fixture.directory.handleBatch(fixture.other[0], request, Start + Milliseconds(300));
    CHECK(statesSent(Start + Milliseconds(300)) == fixture.other);
    CHECK(statesSent(Start + Milliseconds(600)).empty());
}

TEST_CASE("A member of the subset that disconnects or takes no runs for 500 ms is replaced")
{
    TwoAgents fixture;
    if (GENERATE(true, false)) {
        fixture.directory.handleLinkClosed(fixture.member[0]);
        fixture.sendBatches(Start + Milliseconds(10));
    } else {
        wire::AgentBatch report = fixture.batchOf(fixture.member, 2);
        report.room.takesRuns = false;
        fixture.directory.handleBatch(fixture.member[0], report, Start + Milliseconds(10));
        fixture.sendBatches(Start + Milliseconds(490));
        CHECK(fixture.directory.activeViews().front()->agent == fixture.member);
        fixture.sendBatches(Start + Milliseconds(1000));
    }
    REQUIRE(fixture.directory.activeViews().size() == 1);
    CHECK(fixture.directory.activeViews().front()->agent == fixture.other);
}

TEST_CASE("Messages from a previous incarnation of an agent are ignored once a newer one has sent a message")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    REQUIRE(directory.handleBatch(1, batchFrom("first", 10), Start));
    const MonotonicTime silent = Start + WorkerDirectoryOptions().suspectTimeout + Milliseconds(1);
    REQUIRE(directory.handleBatch(2, batchFrom("second", 5), silent));
    const int64_t session = directory.views().at("agent").session;
    CHECK_FALSE(directory.handleBatch(1, batchFrom("first", 20), silent));
    directory.handleLinkClosed(2);
    CHECK_FALSE(directory.handleBatch(1, batchFrom("first", 20), silent));
    REQUIRE(directory.handleBatch(2, batchFrom("second", 6), silent));
    CHECK(directory.views().at("agent").session == session);
    CHECK(directory.views().at("agent").incarnation == "second");
    CHECK(directory.views().at("agent").link == 2);
}

// Guards against two runs of a task: those at a live agent were taken for ended on the word of an earlier incarnation,
// whose only message to this entry was delayed until the next incarnation had connected.
TEST_CASE("A delayed first message of an incarnation that has ended ends no runs and hides no later message")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    REQUIRE(directory.handleBatch(1, batchFrom("second", 20), Start));
    const int64_t session = directory.views().at("agent").session;
    wire::AgentBatch answer = batchFrom("second", 30);
    answer.entryIncarnation = "entry-1";
    answer.session = session;
    REQUIRE(directory.handleBatch(1, answer, Start));
    directory.updateActivity(OperatorStateCache(), Start);
    REQUIRE(directory.activeViews().size() == 1);
    directory.orderRun(*directory.activeViews().front(), wire::RunOrder(), Start);

    const auto delayed = directory.handleBatch(2, batchFrom("first", 10), Start + Milliseconds(50));
    CHECK_FALSE((delayed && delayed->firstLiveSession));
    answer.sentAtUs = 40;
    CHECK(directory.handleBatch(1, answer, Start + Milliseconds(100)));
    CHECK(directory.views().at("agent").session == session);
}

TEST_CASE("A run end is acknowledged with the next message, but at once to an agent that leaves")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    directory.handleBatch(1, batchFrom("first", 10), Start);
    REQUIRE(sendDueBatch(directory, Start));
    const bool isLeaving = GENERATE(false, true);
    REQUIRE(directory.handleBatch(1, batchWithRunEnd(directory, isLeaving), Start + Milliseconds(1))->ends.size() == 1);
    const auto atOnce = sendDueBatch(directory, Start + Milliseconds(1));
    CHECK(atOnce.has_value() == isLeaving);
    const auto later = isLeaving ? atOnce : sendDueBatch(directory, Start + Milliseconds(151));
    REQUIRE(later);
    CHECK(later->acknowledged == 1);
}

TEST_CASE("Each entry address is sent to an agent once per connection")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    directory.addEntry("10.0.0.1:7000");
    directory.handleBatch(1, batchFrom("first", 10), Start);
    CHECK(sendDueBatch(directory, Start)->entries == std::vector<std::string>{"10.0.0.1:7000"});
    directory.addEntry("10.0.0.2:7000");
    directory.addEntry("10.0.0.1:7000");
    CHECK(sendDueBatch(directory, Start)->entries == std::vector<std::string>{"10.0.0.2:7000"});
    CHECK_FALSE(sendDueBatch(directory, Start));
    directory.handleBatch(2, batchFrom("first", 11), Start);
    CHECK(sendDueBatch(directory, Start)->entries.size() == 2);
}

TEST_CASE("An agent that reports another worker names the one that it replaces, also after a time without a worker")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    auto replacedBy = [&, sentAtUs = int64_t{0}](const std::string &worker) mutable {
        wire::AgentBatch batch = batchFrom("first", ++sentAtUs);
        batch.worker.worker = worker;
        return directory.handleBatch(1, batch, Start)->replacedWorker;
    };
    CHECK(replacedBy("w-1").empty());
    CHECK(replacedBy("w-1").empty());
    CHECK(replacedBy("").empty());
    CHECK(replacedBy("w-1").empty());
    CHECK(replacedBy("").empty());
    CHECK(replacedBy("w-2") == "w-1");
    CHECK(replacedBy("w-3") == "w-2");
}

// Guards against sockets that an entry keeps for good: the end of a silent connection never arrives.
TEST_CASE("The link that an agent has given up is closed once the agent sends over another one")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    REQUIRE(directory.handleBatch(1, batchFrom("first", 10), Start));
    directory.takeCommands();
    REQUIRE(directory.handleBatch(2, batchFrom("first", 20), Start));
    CHECK(closedLinks(directory) == std::vector<LinkId>{1});
}

// Guards against agents that have lost power and keep their places in the subset: no end of their connection arrives.
TEST_CASE("The link of an agent that is silent is closed, and its worker leaves the subset")
{
    TwoAgents fixture;
    for (int64_t second = 1; second <= 12; ++second) {
        const MonotonicTime now = Start + Milliseconds(1000 * second);
        fixture.directory.handleBatch(fixture.other[0], fixture.batchOf(fixture.other, 1 + second), now);
        fixture.directory.updateActivity(OperatorStateCache(), now);
    }
    CHECK(fixture.directory.views().at(fixture.member).link == LocalLink);
    CHECK(fixture.directory.views().at(fixture.other).subsetRank.has_value());
    CHECK(closedLinks(fixture.directory) == std::vector<LinkId>{static_cast<LinkId>(fixture.member[0])});
}

// Guards against a live agent that an entry ignores for good.
TEST_CASE("An agent that was replaced by mistake is heard again once the other incarnation is silent")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    REQUIRE(directory.handleBatch(1, batchFrom("live", 10), Start));
    directory.handleLinkClosed(1);
    REQUIRE(directory.handleBatch(2, batchFrom("ended", 5), Start));
    const MonotonicTime silent = Start + WorkerDirectoryOptions().sessionTimeout;
    CHECK_FALSE(directory.handleBatch(3, batchFrom("live", 20), silent));
    CHECK(directory.handleBatch(3, batchFrom("live", 30), silent + Milliseconds(1)));
}
