#include "platform/worker_notification.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <limits>

using namespace marjoramferry;
using namespace marjoramferry::platform;

namespace {

const nlohmann::json ValidAnnouncement = {{"service", "orders"},
                                          {"addr", "10.0.0.1:80"},
                                          {"zone", "north"},
                                          {"state", "ready"},
                                          {"capacity", {{"cpu", 16000}, {"mem-mb", 512}, {"gpu", 0}}},
                                          {"labels", {"a", 7, "r1"}},
                                          {"clock-ms", 99},
                                          {"born", 1234},
                                          {"seq", 4}};

HttpRequest put(const std::string &body)
{
    return HttpRequest{1, "PUT", "/api/instances/i-1", body, {}, {}};
}

} // namespace

TEST_CASE("An announcement is parsed, and labels that are not strings are skipped")
{
    const WorkerNotification notification = parseWorkerNotification(put(ValidAnnouncement.dump()));
    const auto &announcement = std::get<WorkerAnnouncement>(notification);
    CHECK(announcement.identity == WorkerIdentity{"i-1", 1234});
    CHECK(announcement.capacity == Demand{16000, 512, 0});
    CHECK(announcement.labels == std::vector<std::string>{"a", "r1"});
    CHECK_FALSE(announcement.leaving);
}

TEST_CASE("An announcement with a missing field or one of the wrong type gets an error response")
{
    for (const char *field : {"service", "addr", "zone", "state", "capacity", "seq"}) {
        nlohmann::json without = ValidAnnouncement;
        without.erase(field);
        CHECK(std::holds_alternative<HttpResponse>(parseWorkerNotification(put(without.dump()))));
        nlohmann::json wrong = ValidAnnouncement;
        wrong[field] = nlohmann::json::array();
        CHECK(std::holds_alternative<HttpResponse>(parseWorkerNotification(put(wrong.dump()))));
    }
    CHECK(std::holds_alternative<HttpResponse>(parseWorkerNotification(put("\xff\xfe"))));
    CHECK(std::holds_alternative<HttpResponse>(parseWorkerNotification(put("[]"))));
}

// Guards against an agent that another writer's announcement ends, or leads to an address that can't be called.
TEST_CASE("An announcement with an odd address, number or name gets an error response that names the field")
{
    const auto refusalOf = [](const nlohmann::json &body) {
        const WorkerNotification notification = parseWorkerNotification(put(body.dump()));
        const auto *response = std::get_if<HttpResponse>(&notification);
        return response == nullptr || response->status != 400 ? std::string() : response->body;
    };
    const auto with = [](const char *field, const nlohmann::json &value) {
        nlohmann::json body = ValidAnnouncement;
        body[field] = value;
        return body;
    };
    CHECK(refusalOf(ValidAnnouncement).empty());
    for (const char *address : {"10.0.0.1:80800", "10.0.0.1:0", "10.0.0.1", "host:80", "10.0.0.1:80\r\nA: b", ""}) {
        CHECK_THAT(refusalOf(with("addr", address)), Catch::Contains("addr must be an IP address"));
    }
    for (const char *field : {"seq", "born", "clock-ms"}) {
        for (const nlohmann::json &number :
             std::vector<nlohmann::json>{-1, 1e300, 0.5, std::numeric_limits<uint64_t>::max(), int64_t{1} << 54, "7"}) {
            CHECK_THAT(refusalOf(with(field, number)), Catch::Contains(std::string(field) + " must be a whole number"));
        }
    }
    for (const nlohmann::json &cpu : std::vector<nlohmann::json>{-1, 1e300, std::numeric_limits<int>::max(), "7"}) {
        CHECK_THAT(refusalOf(with("capacity", {{"cpu", cpu}, {"mem-mb", 1}})), Catch::Contains("capacity must be"));
    }
    CHECK_THAT(refusalOf(with("state", "absent")), Catch::Contains("state must be ready or draining"));
    CHECK_THAT(refusalOf(with("service", "a\nb")), Catch::Contains("service must be a text"));
    CHECK_THAT(refusalOf(with("zone", std::string(201, 'z'))), Catch::Contains("zone must be a text"));
    for (const std::string &id : {std::string("a\r\nA: b"), std::string(201, 'i')}) {
        CHECK(std::holds_alternative<HttpResponse>(
            parseWorkerNotification(HttpRequest{1, "PUT", "/api/instances/" + id, ValidAnnouncement.dump(), {}, {}})));
    }
}

TEST_CASE("A DELETE is parsed as the departure of the worker in its path")
{
    const WorkerNotification notification
        = parseWorkerNotification(HttpRequest{1, "DELETE", "/api/instances/i-1", "", {}, {}});
    CHECK(std::get<WorkerDeparture>(notification).id == "i-1");
    CHECK(std::holds_alternative<HttpResponse>(parseWorkerNotification(HttpRequest{1, "GET", "/other", "", {}, {}})));
}
