#include "core/error.h"
#include "process/agent_process.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

std::string errorSubject(const std::string &body)
{
    try {
        parseAnnouncement(body);
    } catch (const Error &error) {
        return error.subject();
    }
    return "";
}

} // namespace

TEST_CASE("Fields missing from an announcement have their default values")
{
    const auto announcement = parseAnnouncement(
        R"({"endpoint":"runner","service":"orders","address":"127.0.0.1:9000","capacity":{"cpus":64}})");
    CHECK(announcement.name == "runner");
    CHECK(announcement.slots == 1);
    CHECK(announcement.capacity.cpus == 64);
    CHECK_FALSE(announcement.leaving);
}

TEST_CASE("The error for a malformed announcement names the field")
{
    CHECK(errorSubject("{") == "announcement");
    CHECK(errorSubject("[]") == "body");
    CHECK(errorSubject(R"({"service":"s","address":"a"})") == "endpoint");
    CHECK(errorSubject(R"({"endpoint":"e","service":"s","address":"a","slots":0})") == "slots");
    CHECK(errorSubject(R"({"endpoint":"e","service":"s","address":"a","leaving":"soon"})") == "leaving");
    CHECK(errorSubject(R"({"endpoint":"e","service":"s","address":"a","capacity":[]})") == "capacity");
    CHECK(errorSubject(R"({"endpoint":"e","service":"s","address":"a","colour":1})") == "colour");
}
