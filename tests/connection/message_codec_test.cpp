#include "connection/message_codec.h"
#include "core/error.h"

#include <catch2/catch.hpp>

#include <random>

using namespace marjoramferry;

TEST_CASE("Decoding an encoded message returns an equal message")
{
    wire::StartTasks message;
    message.jobId = "job";
    message.epoch = 9;
    message.tasks.emplace_back();
    message.tasks.back().taskId = "task";
    const Message decoded = decodeMessage(encodeMessage(message));
    CHECK(std::get<wire::StartTasks>(decoded) == message);
}

TEST_CASE("Decoding invalid bytes throws an Error")
{
    CHECK_THROWS_AS(decodeMessage(""), Error);
    CHECK_THROWS_AS(decodeMessage(std::string(1, '\0')), Error);
    CHECK_THROWS_AS(decodeMessage(std::string(100, '\xff')), Error);
}

TEST_CASE("Decoding a corrupted message returns a message or throws a Malformed error")
{
    wire::TaskReport report;
    report.jobId = std::string(50, 'j');
    report.output = std::string(500, 'o');
    const std::string encoded = encodeMessage(report);
    std::mt19937_64 random(20261203);
    for (int round = 0; round < 2000; ++round) {
        std::string corrupted = encoded.substr(0, random() % encoded.size() + 1);
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        try {
            decodeMessage(corrupted);
        } catch (const Error &error) {
            REQUIRE(error.kind() == ErrorKind::Malformed);
        }
    }
}
