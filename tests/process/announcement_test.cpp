#include "core/error.h"
#include "process/agent_process.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

std::string subjectOf(const std::string &body)
{
    try {
        parseAnnouncement(body);
    } catch (const Error &error) {
        return error.subject();
    }
    return "";
}

} // namespace

TEST_CASE("An announcement is read with its defaults")
{
    const auto announcement = parseAnnouncement(
        R"({"endpoint":"runner","service":"orders","address":"127.0.0.1:9000","capacity":{"cpus":64}})");
    CHECK(announcement.name == "runner");
    CHECK(announcement.slots == 1);
    CHECK(announcement.capacity.cpus == 64);
    CHECK_FALSE(announcement.leaving);
}

TEST_CASE("A malformed announcement names its field")
{
    CHECK(subjectOf("{") == "announcement");
    CHECK(subjectOf("[]") == "body");
    CHECK(subjectOf(R"({"service":"s","address":"a"})") == "endpoint");
    CHECK(subjectOf(R"({"endpoint":"e","service":"s","address":"a","slots":0})") == "slots");
    CHECK(subjectOf(R"({"endpoint":"e","service":"s","address":"a","leaving":"soon"})") == "leaving");
    CHECK(subjectOf(R"({"endpoint":"e","service":"s","address":"a","capacity":[]})") == "capacity");
    CHECK(subjectOf(R"({"endpoint":"e","service":"s","address":"a","colour":1})") == "colour");
}
