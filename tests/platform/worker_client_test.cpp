#include "platform/worker_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjoramferry;
using namespace marjoramferry::platform;

namespace {

HttpResult answered(int status, const std::string &body)
{
    return HttpResult{HttpOutcome::Answered, status, body, ""};
}

} // namespace

TEST_CASE("A start names the task, its attempt, the lease and the fence, and the life it is meant for")
{
    StartRun start;
    start.target = {"10.0.0.1:80", "i-1"};
    start.key = {"00aa", 1, 17, 2};
    start.spec = "s";
    start.leaseEndMs = 486000;
    start.fence = 7;
    const HttpCall call = writeWorkerCall(start);
    CHECK(call.url == "http://10.0.0.1:80/api/run-start");
    CHECK(call.headers == std::vector<std::string>{"Expect-Instance: i-1"});
    CHECK(nlohmann::json::parse(call.body)
          == nlohmann::json::parse(R"({"task":"00aa.0.1.17","run":2,"spec":"s","deadline-ms":486000,"fence":7})"));
}

TEST_CASE("A hold that extends no lease has no deadline, and one that does not wait asks for no wait")
{
    PollRuns hold;
    hold.target = {"10.0.0.1:80", "i-1"};
    hold.fence = 7;
    hold.acknowledgedEnd = 3;
    CHECK(nlohmann::json::parse(writeWorkerCall(hold).body) == nlohmann::json::parse(R"({"fence":7,"observed":3})"));
    hold.leaseEndMs = 5;
    hold.wait = Milliseconds(200);
    CHECK(nlohmann::json::parse(writeWorkerCall(hold).body)
          == nlohmann::json::parse(R"({"fence":7,"observed":3,"deadline-ms":5,"wait-ms":200})"));
}

TEST_CASE("A listing is read, rows that are none are left out")
{
    const WorkerReply reply
        = readWorkerReply(4,
                          answered(200,
                                   R"({"clock-ms":10,"born":5,"running":[["a.0.1.2",3,"",41],["a.b",1],7],)"
                                   R"("finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"alone",""],["x"]]})"));
    CHECK(reply.outcome == CallOutcome::Accepted);
    CHECK(reply.clockMs == 10);
    REQUIRE(reply.listing);
    CHECK(reply.listing->startTimeMs == 5);
    CHECK(reply.listing->running == std::vector<RunKey>{{"a", 1, 2, 3}});
    REQUIRE(reply.listing->ended.size() == 2);
    CHECK(reply.listing->ended[0].kind == EndKind::Done);
    CHECK(reply.listing->ended[1].kind == EndKind::Broken);
}

TEST_CASE("An answer without lists lists nothing, so that no run is taken for gone")
{
    CHECK_FALSE(readWorkerReply(4, answered(200, R"({"clock-ms":10})")).listing);
    CHECK_FALSE(readWorkerReply(4, answered(200, "garbage")).listing);
}

TEST_CASE("Rejections keep their reason; a status that says nothing leaves the call unresolved")
{
    const auto reason
        = [](int status, const std::string &body) { return readWorkerReply(4, answered(status, body)).rejection; };
    CHECK(reason(409, R"({"reason":"fence"})") == Rejection::StaleFence);
    CHECK(reason(409, R"({"reason":"old"})") == Rejection::OldAttempt);
    CHECK(reason(409, R"({"reason":"late"})") == Rejection::LeaseExpired);
    CHECK(reason(409, R"({"reason":"room"})") == Rejection::NoRoom);
    CHECK(reason(421, "") == Rejection::OtherIncarnation);
    CHECK(reason(503, "") == Rejection::Unhealthy);
    CHECK(readWorkerReply(4, answered(500, "")).outcome == CallOutcome::Unresolved);
    CHECK(readWorkerReply(4, HttpResult{HttpOutcome::Uncertain, 0, "", "reset"}).outcome == CallOutcome::Unresolved);
    CHECK(readWorkerReply(4, HttpResult{HttpOutcome::NotSent, 0, "", "late"}).outcome == CallOutcome::NotSent);
}
