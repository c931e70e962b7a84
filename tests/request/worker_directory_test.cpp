#include "request/worker_directory.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

wire::AgentBatch batchOf(const std::string &incarnation, int64_t sentAtUs)
{
    wire::AgentBatch batch;
    batch.agent = "agent";
    batch.incarnation = incarnation;
    batch.sentAtUs = sentAtUs;
    batch.cleared = true;
    return batch;
}

/** What is sent to the agent now, if anything. */
std::optional<wire::EntryBatch> sentTo(WorkerDirectory &directory, MonotonicTime now)
{
    directory.send(OperatorStateCache(), false, false, now);
    for (EntryCommand &command : directory.take()) {
        if (const auto *message = std::get_if<SendToLink>(&command)) {
            return std::get<wire::EntryBatch>(message->message);
        }
    }
    return std::nullopt;
}

/** A message of the agent that tells one end. */
wire::AgentBatch endOf(const WorkerDirectory &directory, bool isLeaving)
{
    wire::AgentBatch batch = batchOf("first", 20);
    batch.entryIncarnation = "entry-1";
    batch.session = directory.views().at("agent").session;
    batch.firstSequence = 1;
    batch.ends.resize(1);
    batch.leaving = isLeaving;
    return batch;
}

} // namespace

TEST_CASE("Late words of an agent's earlier life are ignored once a newer one was heard")
{
    WorkerDirectory directory("entry", "entry-1", DirectoryTimes{});
    REQUIRE(directory.take(1, batchOf("first", 10), Start));
    REQUIRE(directory.take(2, batchOf("second", 5), Start));
    const int64_t session = directory.views().at("agent").session;
    CHECK_FALSE(directory.take(1, batchOf("first", 20), Start));
    CHECK(directory.views().at("agent").session == session);
    CHECK(directory.views().at("agent").incarnation == "second");
    CHECK(directory.views().at("agent").link == 2);
}

TEST_CASE("Many short tasks: an end is acknowledged along with the next message, at once to an agent that leaves")
{
    WorkerDirectory directory("entry", "entry-1", DirectoryTimes{});
    directory.take(1, batchOf("first", 10), Start);
    REQUIRE(sentTo(directory, Start));
    const bool isLeaving = GENERATE(false, true);
    REQUIRE(directory.take(1, endOf(directory, isLeaving), Start + Milliseconds(1))->ends.size() == 1);
    const auto atOnce = sentTo(directory, Start + Milliseconds(1));
    CHECK(atOnce.has_value() == isLeaving);
    const auto later = isLeaving ? atOnce : sentTo(directory, Start + Milliseconds(151));
    REQUIRE(later);
    CHECK(later->acknowledged == 1);
}

TEST_CASE("An agent hears of each entry once over each connection")
{
    WorkerDirectory directory("entry", "entry-1", DirectoryTimes{});
    directory.addEntry("10.0.0.1:7000");
    directory.take(1, batchOf("first", 10), Start);
    CHECK(sentTo(directory, Start)->entries == std::vector<std::string>{"10.0.0.1:7000"});
    directory.addEntry("10.0.0.2:7000");
    directory.addEntry("10.0.0.1:7000");
    CHECK(sentTo(directory, Start)->entries == std::vector<std::string>{"10.0.0.2:7000"});
    CHECK_FALSE(sentTo(directory, Start));
    directory.take(2, batchOf("first", 11), Start);
    CHECK(sentTo(directory, Start)->entries.size() == 2);
}
