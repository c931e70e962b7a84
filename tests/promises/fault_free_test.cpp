#include "tests/support/virtual_system.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

const std::vector<std::string> NoViolations;

} // namespace

TEST_CASE("Without faults every job completes exactly once with its own outputs")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U);
    VirtualSystem system(options);
    system.bringUp();
    for (int job = 0; job < 60; ++job) {
        system.submit("job" + std::to_string(job), job % 3, std::vector<int>(5, 50 + job), 20'000);
        system.submit("job" + std::to_string(job), (job + 1) % 3, std::vector<int>(5, 50 + job), 20'000);
        system.run(Milliseconds(30));
    }
    system.run(Milliseconds(10'000));
    CheckBounds bounds;
    bounds.allJobsComplete = true;
    CHECK(findViolations(system.history(), bounds) == NoViolations);
    CHECK(system.history().starts.size() == 300);
}

TEST_CASE("Shards are distributed evenly among the owners")
{
    VirtualSystem system{SystemOptions()};
    system.bringUp();
    const uint64_t token = system.sendRequest(1, "GET", "/v1/status");
    system.run(Milliseconds(10));
    REQUIRE(system.responseTo(token));
    const auto status = nlohmann::json::parse(system.responseTo(token)->body);
    REQUIRE(status["owners"].size() == 3);
    for (const auto &owner : status["owners"]) {
        CHECK(owner["shards"].get<int>() >= 21);
    }
    CHECK(status["agents"].size() == 6);
}
