#include "process/explain_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjoramferry;
using nlohmann::json;

namespace {

HttpRequest requestWith(const std::map<std::string, std::string> &changes)
{
    HttpRequest request;
    request.token = 7;
    request.method = "GET";
    request.path = "/v1/explain";
    request.query = {{"queue", "orders"}, {"tasks", "4"}, {"cpu", "3000"}, {"estimate_ms", "80"}};
    for (const auto &[name, value] : changes) {
        request.query[name] = value;
    }
    return request;
}

} // namespace

TEST_CASE("An explain request is parsed, with defaults for memory and timeout")
{
    REQUIRE(isExplainRequest(requestWith({})));
    const auto call = parseExplainRequest(requestWith({}));
    REQUIRE(std::holds_alternative<ExplainPlacement>(call));
    CHECK(std::get<ExplainPlacement>(call).token == 7);
    CHECK(std::get<ExplainPlacement>(call).query
          == PlacementQuery{"orders", 4, {3000, 0, 0}, Milliseconds(80), Milliseconds(0)});
}

// Guards against an operator who can't tell which argument was wrong.
TEST_CASE("Invalid parameters are answered with an error that names the field")
{
    const auto [field, value] = GENERATE(table<std::string, std::string>({{"queue", ""},
                                                                          {"tasks", "0"},
                                                                          {"tasks", "271"},
                                                                          {"tasks", "four"},
                                                                          {"cpu", "-1"},
                                                                          {"cpu", ""},
                                                                          {"memory", "99999999999999999999"},
                                                                          {"estimate_ms", "0"},
                                                                          {"timeout_ms", "1.5"},
                                                                          {"task", "1"}}));
    CAPTURE(field, value);
    const auto call = parseExplainRequest(requestWith({{field, value}}));
    REQUIRE(std::holds_alternative<HttpResponse>(call));
    const HttpResponse response = std::get<HttpResponse>(call);
    CHECK(response.status == 400);
    const json error = json::parse(response.body).at("error");
    CHECK(error.at("kind") == "malformed");
    CHECK(error.at("field") == field);
}

TEST_CASE("A missing parameter and an unknown queue are named")
{
    HttpRequest request = requestWith({});
    request.query.erase("cpu");
    const auto call = parseExplainRequest(request);
    REQUIRE(std::holds_alternative<HttpResponse>(call));
    CHECK(json::parse(std::get<HttpResponse>(call).body).at("error").at("field") == "cpu");

    const HttpResponse unknown = toHttpResponse(PlacementExplained{7, std::nullopt});
    CHECK(unknown.status == 404);
    CHECK(json::parse(unknown.body).at("error").at("field") == "queue");
}

TEST_CASE("An explanation is answered as JSON with one row for each worker")
{
    PlacementExplanation explanation;
    explanation.queue = "orders";
    explanation.rejection = "overload";
    WorkerPlacement worker;
    worker.agent = "a";
    worker.reasonAgainst = "no_free_capacity";
    explanation.workers = {worker};
    const HttpResponse response = toHttpResponse(PlacementExplained{7, explanation});
    CHECK(response.token == 7);
    CHECK(response.status == 200);
    const json body = json::parse(response.body);
    CHECK(body.at("admitted") == false);
    CHECK(body.at("rejection") == "overload");
    CHECK(body.at("workers").at(0).at("against") == "no_free_capacity");
    CHECK(body.at("workers").at(0).at("score").is_null());
}
