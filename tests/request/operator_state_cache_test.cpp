#include "request/operator_state_cache.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

wire::OperatorState state(int64_t position, int64_t version, const std::string &prefix = "/a/")
{
    wire::Route route;
    route.name = "r" + prefix;
    route.host = "desk.example";
    route.pathPrefix = prefix;
    wire::OperatorState result;
    result.position = position;
    result.configurationVersion = version;
    result.routes = {route};
    return result;
}

} // namespace

TEST_CASE("The operators' word never goes back in position or version")
{
    OperatorStateCache memory;
    CHECK_FALSE(memory.hasConfiguration());
    CHECK(memory.updateIfNewer(state(5, 3)));
    CHECK_FALSE(memory.updateIfNewer(state(5, 4)));
    CHECK_FALSE(memory.updateIfNewer(state(4, 9)));
    CHECK_FALSE(memory.updateIfNewer(state(9, 2)));
    CHECK(memory.updateIfNewer(state(9, 3)));
    CHECK(memory.state().position == 9);
}

TEST_CASE("The longest prefix of the host names the queue")
{
    OperatorStateCache memory;
    wire::OperatorState both = state(1, 1);
    both.routes.push_back(state(1, 1, "/a/b/").routes[0]);
    memory.updateIfNewer(both);
    REQUIRE(memory.find("desk.example", "/a/b/77") != nullptr);
    CHECK(memory.find("DESK.example", "/a/b/77")->pathPrefix == "/a/b/");
    CHECK(memory.find("desk.example", "/a/77")->pathPrefix == "/a/");
    CHECK(memory.find("desk.example", "/other") == nullptr);
    CHECK(memory.find("other.example", "/a/77") == nullptr);
}
