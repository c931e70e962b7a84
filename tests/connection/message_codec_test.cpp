#include "connection/message_codec.h"
#include "core/error.h"

#include <catch2/catch.hpp>

#include <random>

using namespace marjoramferry;

TEST_CASE("A message survives its encoding")
{
    wire::StartTasks message;
    message.jobId = "job";
    message.epoch = 9;
    message.tasks.emplace_back();
    message.tasks.back().taskId = "task";
    const Message decoded = decodeMessage(encodeMessage(message));
    CHECK(std::get<wire::StartTasks>(decoded) == message);
}

TEST_CASE("Bytes that are no message are refused with a typed error")
{
    CHECK_THROWS_AS(decodeMessage(""), Error);
    CHECK_THROWS_AS(decodeMessage(std::string(1, '\0')), Error);
    CHECK_THROWS_AS(decodeMessage(std::string(100, '\xff')), Error);
}

TEST_CASE("Damaged messages never do worse than a typed error")
{
    wire::TaskReport report;
    report.jobId = std::string(50, 'j');
    report.output = std::string(500, 'o');
    const std::string sound = encodeMessage(report);
    std::mt19937_64 random(20261203);
    for (int round = 0; round < 2000; ++round) {
        std::string damaged = sound.substr(0, random() % sound.size() + 1);
        damaged[random() % damaged.size()] = static_cast<char>(random());
        try {
            decodeMessage(damaged);
        } catch (const Error &error) {
            REQUIRE(error.kind() == ErrorKind::Malformed);
        }
    }
}
