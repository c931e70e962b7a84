#include "connection/http_server.h"

#include "core/error.h"
#include "request/job_json.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <event2/util.h>
#include <microhttpd.h>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <map>
#include <thread>
#include <utility>

namespace marjoramferry {

namespace {

constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int MillisecondsPerSecond = 1000;
constexpr unsigned ConnectionMemoryBytes = 32U << 10U;
constexpr unsigned IdleTimeoutSeconds = 60;
constexpr int MaxCloseEvents = 64;
constexpr Milliseconds FlushAtStop{50};

MHD_Result keepHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &[wanted, kept]
        = *static_cast<std::pair<const std::vector<std::string> &, std::map<std::string, std::string> &> *>(context);
    const std::string lower = absl::AsciiStrToLower(name);
    if (value != nullptr && std::ranges::find(wanted, lower) != wanted.end()) {
        kept[lower] = value;
    }
    return MHD_YES;
}

MHD_Result keepArgument(void *context, MHD_ValueKind, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(context))[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(HttpServerOptions options, Sink sink, Direct direct);
    ~Impl();

    void reply(const HttpResponse &reply);

private:
    /** One request from its first byte to its answer. */
    struct Exchange
    {
        HttpRequest request;
        MHD_Connection *connection = nullptr;
        bool handedOver = false;
        bool tooLarge = false;
        std::optional<HttpResponse> reply;
    };

    static MHD_Result onRequest(void *self,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *version,
                                const char *data,
                                size_t *dataSize,
                                void **context);
    static void onCompleted(void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);

    void watchForClose(MHD_Connection *connection, uint64_t token);
    void reportClosed();

    Exchange *begin(MHD_Connection *connection, const char *url, const char *method);
    void take(Exchange &exchange, const char *data, size_t size) const;
    MHD_Result handOver(Exchange &exchange);
    static MHD_Result send(MHD_Connection *connection, const HttpResponse &reply);

    const HttpServerOptions options_;
    const Sink sink_;
    const Direct direct_;
    absl::Mutex mutex_;
    uint64_t lastToken_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<uint64_t, Exchange *> waiting_ ABSL_GUARDED_BY(mutex_);
    MHD_Daemon *daemon_ = nullptr;
    int closeWatch_ = -1; ///< An epoll set of the sockets of waiting requests.
    std::atomic<bool> stopping_{false};
    std::thread closeThread_;
};

HttpServer::Impl::Impl(HttpServerOptions options, Sink sink, Direct direct)
    : options_(std::move(options))
    , sink_(std::move(sink))
    , direct_(std::move(direct))
{
    sockaddr_storage address{};
    int length = sizeof(address);
    auto *where = reinterpret_cast<sockaddr *>(&address);
    if (evutil_parse_sockaddr_port(options_.listenAddress.c_str(), where, &length) != 0) {
        throw Error(ErrorKind::Settings, options_.listenAddress, "is no address", "give an IP number and a port");
    }
    constexpr unsigned Flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    daemon_ = MHD_start_daemon(Flags,
                               0,
                               nullptr,
                               nullptr,
                               &Impl::onRequest,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               where,
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &Impl::onCompleted,
                               this,
                               MHD_OPTION_CONNECTION_LIMIT,
                               options_.connectionLimit,
                               MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                               static_cast<size_t>(ConnectionMemoryBytes),
                               MHD_OPTION_CONNECTION_TIMEOUT,
                               IdleTimeoutSeconds,
                               MHD_OPTION_LISTENING_ADDRESS_REUSE,
                               1U,
                               MHD_OPTION_END);
    if (daemon_ == nullptr) {
        throw Error(
            ErrorKind::Unavailable, options_.listenAddress, std::strerror(errno), "free the port or set another one");
    }
    if (options_.onAbandoned) {
        closeWatch_ = epoll_create1(EPOLL_CLOEXEC);
        closeThread_ = std::thread([this] { reportClosed(); });
    }
}

/** MHD does not look at the socket of a suspended request, so another epoll set does. */
void HttpServer::Impl::watchForClose(MHD_Connection *connection, uint64_t token)
{
    if (closeWatch_ < 0) {
        return;
    }
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = token;
    if (epoll_ctl(closeWatch_, EPOLL_CTL_ADD, info->connect_fd, &event) != 0 && errno == EEXIST) {
        epoll_ctl(closeWatch_, EPOLL_CTL_MOD, info->connect_fd, &event);
    }
}

void HttpServer::Impl::reportClosed()
{
    constexpr int WaitMs = 500;
    std::array<epoll_event, MaxCloseEvents> events{};
    while (!stopping_) {
        const int count = epoll_wait(closeWatch_, events.data(), MaxCloseEvents, WaitMs);
        for (int i = 0; i < count; ++i) {
            const uint64_t token = events.at(static_cast<size_t>(i)).data.u64;
            {
                absl::MutexLock lock(&mutex_);
                if (!waiting_.contains(token)) {
                    continue;
                }
            }
            options_.onAbandoned(token);
        }
    }
}

HttpServer::Impl::~Impl()
{
    // A suspended connection would keep the daemon from stopping.
    std::vector<uint64_t> tokens;
    {
        absl::MutexLock lock(&mutex_);
        for (const auto &[token, exchange] : waiting_) {
            tokens.push_back(token);
        }
    }
    for (const uint64_t token : tokens) {
        reply(HttpResponse{token,
                           StatusUnavailable,
                           R"({"error":{"kind":"stopping","message":"the process stops; ask again"}})",
                           MillisecondsPerSecond});
    }
    // Stopping the daemon cuts answers that are not written yet.
    std::this_thread::sleep_for(FlushAtStop);
    MHD_stop_daemon(daemon_);
    if (closeWatch_ >= 0) {
        stopping_ = true;
        closeThread_.join();
        close(closeWatch_);
    }
}

MHD_Result HttpServer::Impl::onRequest(void *self,
                                       MHD_Connection *connection,
                                       const char *url,
                                       const char *method,
                                       const char *,
                                       const char *data,
                                       size_t *dataSize,
                                       void **context)
{
    auto *server = static_cast<Impl *>(self);
    if (*context == nullptr) {
        *context = server->begin(connection, url, method);
        return MHD_YES;
    }
    auto &exchange = *static_cast<Exchange *>(*context);
    if (*dataSize != 0) {
        server->take(exchange, data, *dataSize);
        *dataSize = 0;
        return MHD_YES;
    }
    return server->handOver(exchange);
}

HttpServer::Impl::Exchange *HttpServer::Impl::begin(MHD_Connection *connection, const char *url, const char *method)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    if (options_.includeQuery) {
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &keepArgument, &exchange->request.query);
    }
    if (!options_.headers.empty()) {
        std::pair<const std::vector<std::string> &, std::map<std::string, std::string> &> kept(
            options_.headers, exchange->request.headers);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &keepHeader, &kept);
    }
    absl::MutexLock lock(&mutex_);
    exchange->request.token = ++lastToken_;
    return exchange.release();
}

void HttpServer::Impl::take(Exchange &exchange, const char *data, size_t size) const
{
    if (exchange.request.body.size() + size > options_.maxBodyBytes) {
        exchange.tooLarge = true;
        return;
    }
    exchange.request.body.append(data, size);
}

MHD_Result HttpServer::Impl::handOver(Exchange &exchange)
{
    const uint64_t token = exchange.request.token;
    if (exchange.handedOver) {
        absl::MutexLock lock(&mutex_);
        return exchange.reply ? send(exchange.connection, *exchange.reply) : MHD_NO;
    }
    exchange.handedOver = true;
    if (exchange.tooLarge) {
        const Error error(ErrorKind::TooLarge,
                          "body",
                          absl::StrCat("is over ", options_.maxBodyBytes, " bytes"),
                          "split the job or shorten its payloads");
        return send(exchange.connection, HttpResponse{token, StatusTooLarge, renderError(error)});
    }
    if (const auto reply = direct_(exchange.request)) {
        return send(exchange.connection, *reply);
    }
    {
        absl::MutexLock lock(&mutex_);
        waiting_[token] = &exchange;
        MHD_suspend_connection(exchange.connection);
        watchForClose(exchange.connection, token);
    }
    if (!sink_(std::move(exchange.request))) {
        reply(HttpResponse{token,
                           StatusUnavailable,
                           R"({"error":{"kind":"busy","message":"too many requests wait here; come back later"}})",
                           MillisecondsPerSecond});
    }
    return MHD_YES;
}

void HttpServer::Impl::reply(const HttpResponse &reply)
{
    absl::MutexLock lock(&mutex_);
    const auto found = waiting_.find(reply.token);
    if (found == waiting_.end()) {
        return;
    }
    Exchange *exchange = found->second;
    waiting_.erase(found);
    exchange->reply = reply;
    MHD_resume_connection(exchange->connection);
}

MHD_Result HttpServer::Impl::send(MHD_Connection *connection, const HttpResponse &reply)
{
    // MHD copies the body; its interface takes it as writable.
    auto *body = const_cast<char *>(reply.body.data());
    MHD_Response *response = MHD_create_response_from_buffer(reply.body.size(), body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.contentType.c_str());
    if (reply.retryAfterMs > 0) {
        const int seconds = (reply.retryAfterMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(seconds).c_str());
    }
    if (reply.closesConnection) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
    MHD_destroy_response(response);
    return result;
}

void HttpServer::Impl::onCompleted(void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode)
{
    auto *server = static_cast<Impl *>(self);
    auto *exchange = static_cast<Exchange *>(*context);
    if (exchange == nullptr) {
        return;
    }
    {
        absl::MutexLock lock(&server->mutex_);
        server->waiting_.erase(exchange->request.token);
    }
    delete exchange;
    *context = nullptr;
}

HttpServer::HttpServer(HttpServerOptions options, Sink sink, Direct direct)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(sink), std::move(direct)))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::reply(const HttpResponse &reply)
{
    impl_->reply(reply);
}

} // namespace marjoramferry
