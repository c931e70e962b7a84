#include "connection/http_server.h"

#include "connection/http_client.h"
#include "core/error.h"

#include <catch2/catch.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace marjoramferry;

namespace {

std::atomic<int> epollCreations{0};
std::atomic<int> failingEpollCreation{0}; ///< Counted from 1; 0 for none.
std::atomic<bool> failsDisconnectWatch{false};

} // namespace

// These two replace the functions of the C library in this program, to let single calls fail as at the system's limits.
extern "C" int epoll_create1(int flags) noexcept
{
    if (++epollCreations == failingEpollCreation) {
        errno = EMFILE;
        return -1;
    }
    return static_cast<int>(syscall(SYS_epoll_create1, flags));
}

extern "C" int epoll_ctl(int epoll, int operation, int descriptor, epoll_event *event) noexcept
{
    // Only the watch for disconnects uses these flags together.
    if (failsDisconnectWatch && event != nullptr && event->events == (EPOLLRDHUP | EPOLLONESHOT)) {
        errno = ENOSPC;
        return -1;
    }
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, descriptor, event));
}

namespace {

constexpr int StatusUnavailable = 503;
// One address for each case: cases run at the same time, and servers that share an address share its connections.
constexpr const char *WatchAddress = "127.0.0.1:17681";
constexpr const char *StartAddress = "127.0.0.1:17682";
constexpr const char *LeavingAddress = "127.0.0.1:17683";
constexpr uint16_t LeavingPort = 17'683;

/** Sets a flag for the lifetime of the object. */
class ScopedFlag
{
public:
    explicit ScopedFlag(std::atomic<bool> &flag)
        : flag_(flag)
    {
        flag_ = true;
    }

    ~ScopedFlag()
    {
        flag_ = false;
    }

private:
    std::atomic<bool> &flag_;
};

/** Collects the lines of the default logger for the lifetime of the object. */
class ScopedLog
{
public:
    ScopedLog()
        : previous_(spdlog::default_logger())
    {
        spdlog::set_default_logger(
            std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(stream_)));
    }

    ~ScopedLog()
    {
        spdlog::set_default_logger(previous_);
    }

    std::string text() const
    {
        return stream_.str();
    }

private:
    std::ostringstream stream_;
    std::shared_ptr<spdlog::logger> previous_;
};

/** A client that sends one request, and leaves whenever the test says so. */
class LeavingClient
{
public:
    explicit LeavingClient(uint16_t port)
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
        REQUIRE(send(socket_, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    }

    ~LeavingClient()
    {
        close(socket_);
    }

    LeavingClient(const LeavingClient &) = delete;
    LeavingClient &operator=(const LeavingClient &) = delete;

    void stopSending() const
    {
        shutdown(socket_, SHUT_WR);
    }

    /** Reads until the server closes the connection. */
    std::string receive() const
    {
        std::string received;
        std::array<char, 1024> buffer{};
        for (ssize_t size = 0; (size = recv(socket_, buffer.data(), buffer.size(), 0)) > 0;) {
            received.append(buffer.data(), static_cast<size_t>(size));
        }
        return received;
    }

private:
    int socket_;
};

HttpServerOptions makeOptions(const char *address)
{
    HttpServerOptions options;
    options.listenAddress = address;
    options.watchesDisconnects = true;
    return options;
}

} // namespace

// Guards against work for callers that have gone, without a sign of it: their disconnects can't be seen.
TEST_CASE("A request whose disconnect can't be watched is rejected at once, and the error is logged")
{
    const ScopedLog log;
    const ScopedFlag failure(failsDisconnectWatch);
    std::atomic<int> handedOver{0};
    HttpServer server(
        makeOptions(WatchAddress),
        [&](const HttpRequest &) {
            ++handedOver;
            return false;
        },
        [](const HttpRequest &) { return std::nullopt; });
    HttpClient client(1);
    HttpCall call;
    call.url = std::string("http://") + WatchAddress + "/";
    std::promise<HttpResult> result;
    client.call(call, [&](HttpResult answer) { result.set_value(std::move(answer)); });
    const HttpResult answer = result.get_future().get();
    CHECK(answer.status == StatusUnavailable);
    CHECK_THAT(answer.body, Catch::Contains("\"kind\":\"busy\""));
    CHECK(handedOver == 0);
    CHECK_THAT(log.text(), Catch::Contains("event=disconnect_watch_failed reason=\"No space left on device\""));
}

// Guards against work for callers that have gone (review/3): a disconnect that was noticed before its request was
// handed over had no effect.
TEST_CASE("A client's disconnect is reported once its request is handed over, whenever the client left")
{
    enum class Leaves { BeforeDispatch, DuringHandOver, AfterHandOver };
    const Leaves leaves = GENERATE(Leaves::BeforeDispatch, Leaves::DuringHandOver, Leaves::AfterHandOver);
    std::promise<void> isReceived;
    std::promise<void> mayDispatch;
    std::promise<uint64_t> token;
    std::promise<void> mayReturn;
    std::promise<void> hasReturned;
    HttpServer server(
        makeOptions(LeavingAddress),
        [&](const HttpRequest &request) {
            token.set_value(request.token);
            mayReturn.get_future().wait();
            hasReturned.set_value();
            return true;
        },
        [&](const HttpRequest &) {
            isReceived.set_value();
            mayDispatch.get_future().wait();
            return std::nullopt;
        });
    const LeavingClient client(LeavingPort);
    isReceived.get_future().wait();
    if (leaves == Leaves::BeforeDispatch) {
        client.stopSending();
    }
    mayDispatch.set_value();
    const uint64_t pending = token.get_future().get();
    if (leaves == Leaves::DuringHandOver) {
        client.stopSending();
    }
    // The caller of takeDisconnected() may have the request before the handler returns.
    const std::vector<uint64_t> early = server.takeDisconnected();
    CHECK(early.empty() == (leaves == Leaves::AfterHandOver));
    mayReturn.set_value();
    hasReturned.get_future().wait();
    if (leaves == Leaves::AfterHandOver) {
        client.stopSending();
    }
    const std::vector<uint64_t> late = server.takeDisconnected();
    CHECK((early.empty() ? late : early) == std::vector<uint64_t>{pending});
    CHECK(early.size() + late.size() == 1);
    CHECK(server.isPending(pending));
    server.reply(HttpResponse{pending, 502, "{}", 0, "application/json", true});
    CHECK_FALSE(server.isPending(pending));
    CHECK_THAT(client.receive(), Catch::StartsWith("HTTP/1.1 502"));
}

// Guards against a server that starts and then spins on an invalid descriptor, and that crashes when it stops.
TEST_CASE("A server that can't watch for disconnects doesn't start")
{
    const auto start = [] {
        const HttpServer server(
            makeOptions(StartAddress),
            [](const HttpRequest &) { return false; },
            [](const HttpRequest &) { return std::nullopt; });
    };
    epollCreations = 0;
    start();
    const int creations = epollCreations;
    REQUIRE(creations > 0);
    for (int failing = 1; failing <= creations; ++failing) {
        epollCreations = 0;
        failingEpollCreation = failing;
        CHECK_THROWS_AS(start(), Error);
    }
    failingEpollCreation = 0;
}
