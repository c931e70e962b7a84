#include "request/worker_directory.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

wire::AgentBatch batchFrom(const std::string &incarnation, int64_t sentAtUs)
{
    wire::AgentBatch batch;
    batch.agent = "agent";
    batch.incarnation = incarnation;
    batch.sentAtUs = sentAtUs;
    batch.cleared = true;
    return batch;
}

/** The message sent to the agent now, if any. */
std::optional<wire::EntryBatch> sendDueBatch(WorkerDirectory &directory, MonotonicTime now)
{
    directory.sendBatches(OperatorStateCache(), false, false, now);
    for (EntryCommand &command : directory.takeCommands()) {
        if (const auto *message = std::get_if<SendToLink>(&command)) {
            return std::get<wire::EntryBatch>(message->message);
        }
    }
    return std::nullopt;
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

TEST_CASE("Messages from a previous incarnation of an agent are ignored once a newer one has sent a message")
{
    WorkerDirectory directory("entry", "entry-1", WorkerDirectoryOptions{});
    REQUIRE(directory.handleBatch(1, batchFrom("first", 10), Start));
    REQUIRE(directory.handleBatch(2, batchFrom("second", 5), Start));
    const int64_t session = directory.views().at("agent").session;
    CHECK_FALSE(directory.handleBatch(1, batchFrom("first", 20), Start));
    CHECK(directory.views().at("agent").session == session);
    CHECK(directory.views().at("agent").incarnation == "second");
    CHECK(directory.views().at("agent").link == 2);
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
