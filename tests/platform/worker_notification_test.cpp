#include "platform/worker_notification.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

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

TEST_CASE("A DELETE is parsed as the departure of the worker in its path")
{
    const WorkerNotification notification
        = parseWorkerNotification(HttpRequest{1, "DELETE", "/api/instances/i-1", "", {}, {}});
    CHECK(std::get<WorkerDeparture>(notification).id == "i-1");
    CHECK(std::holds_alternative<HttpResponse>(parseWorkerNotification(HttpRequest{1, "GET", "/other", "", {}, {}})));
}
