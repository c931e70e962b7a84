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

TEST_CASE("An operator state with an older position or configuration version is not taken over")
{
    OperatorStateCache cache;
    CHECK_FALSE(cache.hasConfiguration());
    CHECK(cache.updateIfNewer(state(5, 3)));
    CHECK_FALSE(cache.updateIfNewer(state(5, 4)));
    CHECK_FALSE(cache.updateIfNewer(state(4, 9)));
    CHECK_FALSE(cache.updateIfNewer(state(9, 2)));
    CHECK(cache.updateIfNewer(state(9, 3)));
    CHECK(cache.state().position == 9);
}

TEST_CASE("The route with the longest matching path prefix of the host is found")
{
    OperatorStateCache cache;
    wire::OperatorState both = state(1, 1);
    both.routes.push_back(state(1, 1, "/a/b/").routes[0]);
    cache.updateIfNewer(both);
    REQUIRE(cache.findRoute("desk.example", "/a/b/77") != nullptr);
    CHECK(cache.findRoute("DESK.example", "/a/b/77")->pathPrefix == "/a/b/");
    CHECK(cache.findRoute("desk.example", "/a/77")->pathPrefix == "/a/");
    CHECK(cache.findRoute("desk.example", "/other") == nullptr);
    CHECK(cache.findRoute("other.example", "/a/77") == nullptr);
}
