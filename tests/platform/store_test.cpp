#include "platform/entry_registry.h"
#include "platform/operator_rows.h"
#include "platform/store_client.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::platform;

namespace {

HttpResult answered(int status, const std::string &body)
{
    return HttpResult{HttpOutcome::Answered, status, body, ""};
}

std::string configuration(int version, const std::string &service)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"h","path-prefix":"/p/","service":")" + service
        + R"(","priority":2,"max-attempts":3,"stretch":1.6,"target-latency-ms":60},{"name":"no host"}]})";
}

StoreRow row(const std::string &key, const std::string &value, int64_t version, bool isDeleted = false)
{
    return StoreRow{OperatorTable, key, value, version, isDeleted};
}

} // namespace

TEST_CASE("Each HTTP status of the store maps to its outcome")
{
    const auto outcome
        = [](int status, const std::string &body) { return parseStoreAnswer(answered(status, body)).outcome; };
    CHECK(outcome(200, R"({"ver":3})") == StoreOutcome::Done);
    CHECK(outcome(200, "{}") == StoreOutcome::Malformed);
    CHECK(outcome(410, "") == StoreOutcome::HistoryTruncated);
    CHECK(outcome(412, "") == StoreOutcome::Conflict);
    CHECK(outcome(429, "") == StoreOutcome::Refused);
    CHECK(outcome(503, "") == StoreOutcome::Refused);
    CHECK(parseStoreAnswer(HttpResult{}).outcome == StoreOutcome::Unanswered);
}

TEST_CASE("Rows are decoded, and malformed rows are skipped")
{
    const StoreAnswer answer = parseStoreAnswer(answered(
        200,
        R"({"ver":9,"has-more":true,"rows":[{"table":"op","key":"config","value":"aGk=","ver":4},)"
        R"({"table":"op","key":"k","deleted":true,"ver":5},{"table":"op","key":"bad","value":"!","ver":6},"..."]})"));
    CHECK(answer.hasMore);
    CHECK(answer.version == 9);
    CHECK(answer.rows == std::vector<StoreRow>{row("config", "hi", 4), row("k", "", 5, true)});
}

// Guards against readers of the list that follow an odd row, or pass it on to all others.
TEST_CASE("The addresses of entries are those of the rows with an IP address and a valid port")
{
    const std::vector<StoreRow> rows = {row("entry-0", "10.0.0.1:7720", 1),
                                        row("entry-1", "10.0.0.2:7720", 1),
                                        row("odd-0", "10.0.0.3:77200", 1),
                                        row("odd-1", std::string(60'000, '['), 1),
                                        row("odd-2", "184467440737095516160", 1),
                                        row("odd-3", std::string("\0\xff\n", 3), 1),
                                        row("entry-2", "10.0.0.4:7720", 1, true)};
    CHECK(entryAddresses(rows, "entry-0") == std::vector<std::string>{"10.0.0.2:7720"});
}

TEST_CASE("A configuration is parsed, and malformed routes are skipped")
{
    const auto state = parseConfiguration(configuration(7, "orders"));
    REQUIRE(state);
    CHECK(state->configurationVersion == 7);
    REQUIRE(state->routes.size() == 1);
    CHECK(state->routes[0].pathPrefix == "/p/");
    CHECK(state->routes[0].maxAttempts == 3);
    CHECK_FALSE(parseConfiguration("{}"));
    CHECK_FALSE(parseConfiguration("garbage"));
}

TEST_CASE("Older rows and configurations never replace newer ones, in any order of arrival")
{
    OperatorRows rows;
    CHECK(rows.replace({row("config", configuration(7, "new"), 20)}, 30));
    CHECK_FALSE(rows.replace({row("config", configuration(6, "old"), 10)}, 25));
    rows.update({row("config", configuration(6, "old"), 31)}, 31);
    CHECK(rows.state().configurationVersion == 7);
    rows.update({row("config", "garbage", 32)}, 32);
    CHECK(rows.state().routes.at(0).serviceName == "new");
}

TEST_CASE("An evacuation lasts until its row is deleted, even if the deletion is only seen by a full read")
{
    OperatorRows rows;
    rows.update({row("evacuate/north", "{}", 3)}, 3);
    CHECK(rows.state().evacuatedDomains == std::vector<std::string>{"north"});
    rows.update({row("evacuate/north", "", 4, true)}, 4);
    CHECK(rows.state().evacuatedDomains.empty());
    rows.update({row("evacuate/south", "{}", 5)}, 5);
    CHECK(rows.replace({}, 9));
    CHECK(rows.state().evacuatedDomains.empty());
}
