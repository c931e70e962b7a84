#include "connection/http_client.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace marjoramferry;

namespace {

/** Answers the first request of each connection, and closes the connection without an answer on the second. */
class ClosingServer
{
public:
    ClosingServer()
        : listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(listener_, reinterpret_cast<sockaddr *>(&address), length) == 0);
        listen(listener_, 8);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        port_ = ntohs(address.sin_port);
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
        while (true) {
            const int connection = accept(listener_, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
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
    }

    int listener_;
    int port_ = 0;
    std::atomic<int> requests_{0};
    std::thread thread_;
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
