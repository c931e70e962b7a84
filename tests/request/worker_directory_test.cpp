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
