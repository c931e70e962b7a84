#include "connection/http_client.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace marjoramferry;

namespace {

/** Listens on a free port of the loopback address and returns the port. */
int listenOnLoopback(int listener)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
    listen(listener, 8);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

/** Answers the first request of each connection, and closes the connection without an answer on the second. */
class ClosingServer
{
public:
    ClosingServer()
        : listener_(socket(AF_INET, SOCK_STREAM, 0))
        , port_(listenOnLoopback(listener_))
    {
        thread_ = std::thread([this] { serve(); });
    }

    ~ClosingServer()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_) + "/run";
    }

    int requests() const
    {
        return requests_;
    }

private:
    void serve()
    {
        std::vector<std::jthread> connections;
        while (true) {
            const int connection = accept(listener_, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            connections.emplace_back([this, connection] { serveConnection(connection); });
        }
    }

    void serveConnection(int connection)
    {
        char buffer[4096];
        bool isFirst = true;
        while (recv(connection, buffer, sizeof(buffer), 0) > 0) {
            ++requests_;
            if (!isFirst) {
                break;
            }
            isFirst = false;
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        close(connection);
    }

    int listener_;
    int port_ = 0;
    std::atomic<int> requests_{0};
    std::thread thread_;
};

/** Accepts one connection and answers none of its requests. */
class SilentServer
{
public:
    SilentServer()
        : listener_(socket(AF_INET, SOCK_STREAM, 0))
        , port_(listenOnLoopback(listener_))
    {
    }

    ~SilentServer()
    {
        if (connection_ >= 0) {
            close(connection_);
        }
        close(listener_);
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_) + "/run";
    }

    void waitForRequest()
    {
        connection_ = accept(listener_, nullptr, nullptr);
        char buffer[4096];
        REQUIRE(recv(connection_, buffer, sizeof(buffer), 0) > 0);
    }

private:
    int listener_;
    int connection_ = -1;
    int port_ = 0;
};

HttpResult callAndWait(HttpClient &client, HttpCall call)
{
    std::promise<HttpResult> promise;
    client.call(std::move(call), [&](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

} // namespace

TEST_CASE("A request is not retried when its reused connection closes without a response")
{
    ClosingServer server;
    HttpClient client(4);
    HttpCall call;
    call.url = server.url();
    call.body = R"({"task_id":"a"})";
    CHECK(callAndWait(client, call).outcome == HttpOutcome::Answered);
    CHECK(callAndWait(client, call).outcome == HttpOutcome::Uncertain);
    CHECK(server.requests() == 2);
}

// Guards against a probe that is sent over a connection that may be dead, although a new one would work.
TEST_CASE("A request that asks for a new connection does not reuse an open one")
{
    ClosingServer server;
    HttpClient client(4);
    HttpCall call;
    call.url = server.url();
    call.usesNewConnection = true;
    CHECK(callAndWait(client, call).outcome == HttpOutcome::Answered);
    CHECK(callAndWait(client, call).outcome == HttpOutcome::Answered);
}

// Guards against a worker that is called late because the end of its connection looks like a call without an answer.
TEST_CASE("A connection that has ended is told from a call without an answer, and from a refused connection")
{
    ClosingServer closing;
    HttpClient client(4);
    HttpCall call;
    call.url = closing.url();
    CHECK_FALSE(callAndWait(client, call).isBrokenOff);
    CHECK(callAndWait(client, call).isBrokenOff);

    SilentServer silent;
    call.url = silent.url();
    call.timeout = Milliseconds(50);
    CHECK_FALSE(callAndWait(client, call).isBrokenOff);

    call.url = "http://127.0.0.1:1/run";
    const HttpResult refused = callAndWait(client, call);
    CHECK(refused.isRefused);
    CHECK_FALSE(refused.isBrokenOff);
}

TEST_CASE("A request past its send deadline is not sent")
{
    ClosingServer server;
    HttpClient client(4);
    HttpCall call;
    call.url = server.url();
    call.sendDeadline = std::chrono::steady_clock::now() - Milliseconds(1);
    CHECK(callAndWait(client, call).outcome == HttpOutcome::NotSent);
    CHECK(server.requests() == 0);
}

TEST_CASE("A request to a port without a listener is reported as not sent")
{
    HttpClient client(4);
    HttpCall call;
    call.url = "http://127.0.0.1:1/run";
    CHECK(callAndWait(client, call).outcome == HttpOutcome::NotSent);
}

// Guards against callers that wait forever: an owner keeps a call's slot or state until its callback.
TEST_CASE("Calls that are unanswered when their client stops get their callback")
{
    SilentServer server;
    std::vector<HttpResult> results;
    {
        HttpClient client(1);
        HttpCall call;
        call.url = server.url();
        call.timeout = Milliseconds(60'000);
        client.call(call, [&](HttpResult result) { results.push_back(std::move(result)); });
        server.waitForRequest();
        client.call(call, [&](HttpResult result) { results.push_back(std::move(result)); });
        client.call(call, [&](HttpResult result) { results.push_back(std::move(result)); });
    }
    REQUIRE(results.size() == 3);
    CHECK(std::ranges::count(results, HttpOutcome::Uncertain, &HttpResult::outcome) == 1);
    CHECK(std::ranges::count(results, HttpOutcome::NotSent, &HttpResult::outcome) == 2);
    CHECK(std::ranges::none_of(results, &std::string::empty, &HttpResult::errorMessage));
}

// Guards against a lost callback of a call that a callback makes while the client stops, or that is made later.
TEST_CASE("Calls that are made while or after their client stops are reported as not sent")
{
    SilentServer server;
    HttpClient client(1);
    HttpCall call;
    call.url = server.url();
    call.timeout = Milliseconds(60'000);
    std::vector<HttpOutcome> outcomes;
    const auto record = [&](const HttpResult &result) { outcomes.push_back(result.outcome); };
    client.call(call, [&](const HttpResult &result) {
        record(result);
        client.call(call, record);
    });
    server.waitForRequest();
    client.stop();
    client.call(call, record);
    CHECK(outcomes == std::vector{HttpOutcome::Uncertain, HttpOutcome::NotSent, HttpOutcome::NotSent});
}

// Guards against an I/O thread that waits for itself: only it makes room in a full queue of calls.
TEST_CASE("A callback can make any number of calls without blocking")
{
    constexpr int CallCount = 70'000;
    constexpr std::chrono::seconds LongestWait(20);
    constexpr Milliseconds StopTime(500);
    SilentServer server;
    auto client = std::make_unique<HttpClient>(1);
    HttpCall call;
    call.url = server.url();
    call.timeout = Milliseconds(60'000);
    std::atomic<int> callbackCount{0};
    std::promise<void> finished;
    HttpCall first;
    first.url = "http://127.0.0.1:1/run";
    client->call(first, [&](const HttpResult &) {
        for (int i = 0; i < CallCount; ++i) {
            client->call(call, [&](const HttpResult &) { ++callbackCount; });
        }
        finished.set_value();
        // The client is stopped meanwhile: starting all these calls at one host takes libcurl many seconds.
        std::this_thread::sleep_for(StopTime);
    });
    if (finished.get_future().wait_for(LongestWait) != std::future_status::ready) {
        // A client whose thread is blocked can't be destroyed, and what its callbacks use must stay as well.
        std::fputs("a call from a callback blocks\n", stderr);
        std::_Exit(EXIT_FAILURE);
    }
    client.reset();
    CHECK(callbackCount == CallCount);
}
