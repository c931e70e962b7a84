#include "connection/http_server.h"

#include "core/clock.h"
#include "core/error.h"
#include "event/error_json.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <event2/util.h>
#include <microhttpd.h>
#include <spdlog/spdlog.h>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
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
constexpr int MaxDisconnectEvents = 64;
constexpr Milliseconds StopFlushTime{50};

HttpResponse makeBusyResponse(uint64_t token)
{
    return HttpResponse{token,
                        StatusUnavailable,
                        R"({"error":{"kind":"busy","message":"too many requests wait here; come back later"}})",
                        MillisecondsPerSecond};
}

MHD_Result collectHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &[wantedNames, headers]
        = *static_cast<std::pair<const std::vector<std::string> &, std::map<std::string, std::string> &> *>(context);
    const std::string lower = absl::AsciiStrToLower(name);
    if (value != nullptr && std::ranges::find(wantedNames, lower) != wantedNames.end()) {
        headers[lower] = value;
    }
    return MHD_YES;
}

MHD_Result collectQueryParameter(void *context, MHD_ValueKind, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(context))[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(HttpServerOptions options, AsyncHandler asyncHandler, SyncHandler syncHandler);
    ~Impl();

    void reply(const HttpResponse &response);
    std::vector<uint64_t> takeDisconnected();
    bool isPending(uint64_t token) const;

private:
    /** A request and its response. */
    struct Exchange
    {
        HttpRequest request;
        MHD_Connection *connection = nullptr;
        bool isDispatched = false;
        bool isBodyTooLarge = false;
        std::optional<HttpResponse> response;
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
    static void
    onConnection(void *self, MHD_Connection *connection, void **connectedAt, MHD_ConnectionNotificationCode code);

    /** Returns false if disconnects of the client can't be seen. */
    bool watchForDisconnect(MHD_Connection *connection, uint64_t token);

    Exchange *beginExchange(MHD_Connection *connection, const char *url, const char *method);
    void appendBody(Exchange &exchange, const char *data, size_t size) const;
    MHD_Result dispatch(Exchange &exchange);
    static MHD_Result send(MHD_Connection *connection, const HttpResponse &response);

    const HttpServerOptions options_;
    const AsyncHandler asyncHandler_;
    const SyncHandler syncHandler_;
    mutable absl::Mutex mutex_;
    uint64_t lastToken_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<uint64_t, Exchange *> pending_ ABSL_GUARDED_BY(mutex_);
    MHD_Daemon *daemon_ = nullptr;
    int disconnectEpoll_ = -1; ///< Epoll descriptor that watches the sockets of pending requests.
};

HttpServer::Impl::Impl(HttpServerOptions options, AsyncHandler asyncHandler, SyncHandler syncHandler)
    : options_(std::move(options))
    , asyncHandler_(std::move(asyncHandler))
    , syncHandler_(std::move(syncHandler))
{
    sockaddr_storage address{};
    int length = sizeof(address);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&address);
    if (evutil_parse_sockaddr_port(options_.listenAddress.c_str(), socketAddress, &length) != 0) {
        throw Error(
            ErrorKind::Settings, options_.listenAddress, "is not a valid address", "use an IP address and a port");
    }
    if (options_.watchesDisconnects) {
        disconnectEpoll_ = epoll_create1(EPOLL_CLOEXEC);
        if (disconnectEpoll_ < 0) {
            throw Error(ErrorKind::Unavailable,
                        options_.listenAddress,
                        absl::StrCat("can't watch for disconnects: ", std::strerror(errno)),
                        "raise the limit of open files");
        }
    }
    constexpr unsigned Flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    daemon_ = MHD_start_daemon(Flags,
                               0,
                               nullptr,
                               nullptr,
                               &Impl::onRequest,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               socketAddress,
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &Impl::onCompleted,
                               this,
                               MHD_OPTION_NOTIFY_CONNECTION,
                               &Impl::onConnection,
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
        const int error = errno;
        if (disconnectEpoll_ >= 0) {
            close(disconnectEpoll_);
        }
        throw Error(ErrorKind::Unavailable,
                    options_.listenAddress,
                    std::strerror(error),
                    "free the port or configure another one");
    }
}

/** MHD does not poll the socket of a suspended connection, so disconnects are detected with a separate epoll set. */
bool HttpServer::Impl::watchForDisconnect(MHD_Connection *connection, uint64_t token)
{
    if (disconnectEpoll_ < 0) {
        return true;
    }
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = token;
    int result = epoll_ctl(disconnectEpoll_, EPOLL_CTL_ADD, info->connect_fd, &event);
    if (result != 0 && errno == EEXIST) {
        result = epoll_ctl(disconnectEpoll_, EPOLL_CTL_MOD, info->connect_fd, &event);
    }
    if (result != 0) {
        spdlog::warn("event=disconnect_watch_failed reason=\"{}\"", std::strerror(errno));
    }
    return result == 0;
}

std::vector<uint64_t> HttpServer::Impl::takeDisconnected()
{
    std::vector<uint64_t> tokens;
    absl::MutexLock lock(&mutex_);
    std::array<epoll_event, MaxDisconnectEvents> events{};
    int count = disconnectEpoll_ < 0 || pending_.empty() ? 0 : MaxDisconnectEvents;
    while (count == MaxDisconnectEvents) {
        count = epoll_wait(disconnectEpoll_, events.data(), MaxDisconnectEvents, 0);
        for (int i = 0; i < count; ++i) {
            const uint64_t token = events.at(static_cast<size_t>(i)).data.u64;
            if (pending_.contains(token)) {
                tokens.push_back(token);
            }
        }
    }
    return tokens;
}

bool HttpServer::Impl::isPending(uint64_t token) const
{
    absl::MutexLock lock(&mutex_);
    return pending_.contains(token);
}

HttpServer::Impl::~Impl()
{
    // MHD can't stop while a connection is suspended.
    std::vector<uint64_t> tokens;
    {
        absl::MutexLock lock(&mutex_);
        for (const auto &[token, exchange] : pending_) {
            tokens.push_back(token);
        }
    }
    for (const uint64_t token : tokens) {
        reply(HttpResponse{token,
                           StatusUnavailable,
                           R"({"error":{"kind":"stopping","message":"the process stops; ask again"}})",
                           MillisecondsPerSecond});
    }
    // MHD_stop_daemon() drops responses that are not yet written.
    std::this_thread::sleep_for(StopFlushTime);
    MHD_stop_daemon(daemon_);
    if (disconnectEpoll_ >= 0) {
        close(disconnectEpoll_);
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
        *context = server->beginExchange(connection, url, method);
        return MHD_YES;
    }
    auto &exchange = *static_cast<Exchange *>(*context);
    if (*dataSize != 0) {
        server->appendBody(exchange, data, *dataSize);
        *dataSize = 0;
        return MHD_YES;
    }
    return server->dispatch(exchange);
}

HttpServer::Impl::Exchange *
HttpServer::Impl::beginExchange(MHD_Connection *connection, const char *url, const char *method)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    exchange->request.connectedAt = *static_cast<const MonotonicTime *>(info->socket_context);
    if (options_.includeQuery) {
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQueryParameter, &exchange->request.query);
    }
    if (!options_.headers.empty()) {
        std::pair<const std::vector<std::string> &, std::map<std::string, std::string> &> headerSelection(
            options_.headers, exchange->request.headers);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &headerSelection);
    }
    absl::MutexLock lock(&mutex_);
    exchange->request.token = ++lastToken_;
    return exchange.release();
}

void HttpServer::Impl::appendBody(Exchange &exchange, const char *data, size_t size) const
{
    if (exchange.request.body.size() + size > options_.maxBodyBytes) {
        exchange.isBodyTooLarge = true;
        return;
    }
    exchange.request.body.append(data, size);
}

MHD_Result HttpServer::Impl::dispatch(Exchange &exchange)
{
    const uint64_t token = exchange.request.token;
    if (exchange.isDispatched) {
        absl::MutexLock lock(&mutex_);
        return exchange.response ? send(exchange.connection, *exchange.response) : MHD_NO;
    }
    exchange.isDispatched = true;
    if (exchange.isBodyTooLarge) {
        const Error error(ErrorKind::TooLarge,
                          "body",
                          absl::StrCat("is larger than ", options_.maxBodyBytes, " bytes"),
                          "split the job or shorten its payloads");
        return send(exchange.connection, HttpResponse{token, StatusTooLarge, renderError(error)});
    }
    if (const auto response = syncHandler_(exchange.request)) {
        return send(exchange.connection, *response);
    }
    {
        absl::MutexLock lock(&mutex_);
        // Work for a client whose disconnect can't be seen would go on beside what it sends again elsewhere.
        if (!watchForDisconnect(exchange.connection, token)) {
            return send(exchange.connection, makeBusyResponse(token));
        }
        pending_[token] = &exchange;
        MHD_suspend_connection(exchange.connection);
    }
    if (!asyncHandler_(std::move(exchange.request))) {
        reply(makeBusyResponse(token));
    }
    return MHD_YES;
}

void HttpServer::Impl::reply(const HttpResponse &response)
{
    absl::MutexLock lock(&mutex_);
    const auto found = pending_.find(response.token);
    if (found == pending_.end()) {
        return;
    }
    Exchange *exchange = found->second;
    pending_.erase(found);
    exchange->response = response;
    MHD_resume_connection(exchange->connection);
}

MHD_Result HttpServer::Impl::send(MHD_Connection *connection, const HttpResponse &response)
{
    // MHD copies the body, but its interface requires a non-const pointer.
    auto *body = const_cast<char *>(response.body.data());
    MHD_Response *mhdResponse = MHD_create_response_from_buffer(response.body.size(), body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
    if (response.retryAfterMs > 0) {
        const int seconds = (response.retryAfterMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
        MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(seconds).c_str());
    }
    if (response.closesConnection) {
        MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(response.status), mhdResponse);
    MHD_destroy_response(mhdResponse);
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
        server->pending_.erase(exchange->request.token);
    }
    delete exchange;
    *context = nullptr;
}

void HttpServer::Impl::onConnection(void *, MHD_Connection *, void **connectedAt, MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *connectedAt = std::make_unique<MonotonicTime>(monotonicNow()).release();
        return;
    }
    delete static_cast<MonotonicTime *>(*connectedAt);
    *connectedAt = nullptr;
}

HttpServer::HttpServer(HttpServerOptions options, AsyncHandler asyncHandler, SyncHandler syncHandler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(asyncHandler), std::move(syncHandler)))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::reply(const HttpResponse &response)
{
    impl_->reply(response);
}

std::vector<uint64_t> HttpServer::takeDisconnected()
{
    return impl_->takeDisconnected();
}

bool HttpServer::isPending(uint64_t token) const
{
    return impl_->isPending(token);
}

} // namespace marjoramferry
