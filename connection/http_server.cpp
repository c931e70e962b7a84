#include "connection/http_server.h"

#include "connection/http_connections.h"
#include "connection/http_exchange.h"
#include "connection/http_refusals.h"
#include "connection/listen_address.h"
#include "core/clock.h"
#include "core/error.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <microhttpd.h>
#include <spdlog/spdlog.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <thread>
#include <utility>

namespace marjoramferry {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int MillisecondsPerSecond = 1000;
constexpr unsigned ConnectionMemoryBytes = 32U << 10U; ///< Of the HTTP library, for a header and what it reads ahead.
constexpr size_t FirstChunkBytes = size_t{4} << 10U;
constexpr size_t SmallResponseBytes = size_t{2} << 10U; ///< Covered by ListenerLimits::bytesPerConnection.
constexpr int MaxDisconnectEvents = 64;
constexpr Milliseconds StopFlushTime{50};

} // namespace

class HttpServer::Impl
{
public:
    Impl(HttpServerOptions options, AsyncHandler asyncHandler, SyncHandler syncHandler);
    ~Impl();

    /** Starts the I/O thread. Throws Unavailable if the address can't be bound. */
    void start();
    void reply(const HttpResponse &response);
    std::vector<uint64_t> takeDisconnected();
    bool isPending(uint64_t token) const;
    AdmissionOutcome reserve(const HttpRequest &request, size_t bytes);
    void closeExpired(MonotonicTime now);
    ListenerUsage usage() const;

private:
    /** A request and its response. */
    struct Exchange
    {
        HttpRequest request;
        MHD_Connection *connection = nullptr;
        size_t headerBytes = 0;
        size_t reservedBytes = 0; ///< For the body.
        bool isDispatched = false;
        std::optional<HttpResponse> response;
    };

    /** What the HTTP library keeps for a connection. */
    struct ConnectionContext
    {
        ConnectionId id = 0;
        MonotonicTime connectedAt;
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
    onConnection(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code);

    /** Returns false if disconnects of the client can't be seen. */
    bool watchForDisconnect(MHD_Connection *connection, uint64_t token);

    Exchange *beginExchange(MHD_Connection *connection, const char *url, const char *method);
    MHD_Result admitRequest(Exchange &exchange);
    MHD_Result receiveBody(Exchange &exchange, const char *data, size_t size);
    AdmissionOutcome growBody(Exchange &exchange, size_t bytes);
    MHD_Result dispatch(Exchange &exchange);
    bool admitResponse(const HttpRequest &request, const HttpResponse &response);
    MHD_Result respond(const Exchange &exchange, const HttpResponse &response);
    void freeBody(ConnectionId connection);

    const HttpServerOptions options_;
    const AsyncHandler asyncHandler_;
    const SyncHandler syncHandler_;
    HttpConnections connections_;
    absl::flat_hash_map<ConnectionId, Exchange *> receiving_; ///< Requests without their whole body; I/O thread only.
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
    , connections_(options_.listenAddress, options_.clients, [this](ConnectionId id) { freeBody(id); })
{
    if (options_.watchesDisconnects) {
        disconnectEpoll_ = epoll_create1(EPOLL_CLOEXEC);
        if (disconnectEpoll_ < 0) {
            throw Error(ErrorKind::Unavailable,
                        options_.listenAddress,
                        absl::StrCat("can't watch for disconnects: ", std::strerror(errno)),
                        "raise the limit of open files");
        }
    }
}

void HttpServer::Impl::start()
{
    SocketAddress address = parseSocketAddress(options_.listenAddress);
    constexpr unsigned Flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    daemon_ = MHD_start_daemon(Flags,
                               0,
                               nullptr,
                               nullptr,
                               &Impl::onRequest,
                               this,
                               MHD_OPTION_SOCK_ADDR,
                               address.get(),
                               MHD_OPTION_NOTIFY_COMPLETED,
                               &Impl::onCompleted,
                               this,
                               MHD_OPTION_NOTIFY_CONNECTION,
                               &Impl::onConnection,
                               this,
                               MHD_OPTION_CONNECTION_LIMIT,
                               static_cast<unsigned>(options_.clients.connections),
                               MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                               static_cast<size_t>(ConnectionMemoryBytes),
                               MHD_OPTION_CONNECTION_TIMEOUT,
                               static_cast<unsigned>(options_.clients.idleTimeout / std::chrono::seconds(1)),
                               MHD_OPTION_LISTENING_ADDRESS_REUSE,
                               1U,
                               MHD_OPTION_END);
    if (daemon_ == nullptr) {
        throw Error(ErrorKind::Unavailable,
                    options_.listenAddress,
                    std::strerror(errno),
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
    if (daemon_ != nullptr) {
        // MHD_stop_daemon() drops responses that are not yet written.
        std::this_thread::sleep_for(StopFlushTime);
        MHD_stop_daemon(daemon_);
    }
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
        Exchange *exchange = server->beginExchange(connection, url, method);
        *context = exchange;
        return server->admitRequest(*exchange);
    }
    auto &exchange = *static_cast<Exchange *>(*context);
    if (*dataSize != 0) {
        const MHD_Result result = server->receiveBody(exchange, data, *dataSize);
        *dataSize = 0;
        return result;
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
    const auto &connectionContext = *static_cast<const ConnectionContext *>(info->socket_context);
    exchange->request.connection = connectionContext.id;
    exchange->request.connectedAt = connectionContext.connectedAt;
    if (options_.includeQuery) {
        exchange->request.query = readQuery(connection);
    }
    exchange->request.headers = readHeaders(connection, options_.headers);
    absl::MutexLock lock(&mutex_);
    exchange->request.token = ++lastToken_;
    return exchange.release();
}

/** Refuses a request that can't be served before its body is read; the library then closes the connection. */
MHD_Result HttpServer::Impl::admitRequest(Exchange &exchange)
{
    exchange.headerBytes = headerBytes(exchange.request);
    const uint64_t announced = announcedBodyBytes(exchange.connection);
    if (announced > options_.maxBodyBytes) {
        connections_.recordTooLarge();
        return respond(exchange, makeBodyTooLargeResponse(exchange.request.token, options_.maxBodyBytes));
    }
    const AdmissionOutcome outcome
        = connections_.beginRequest(exchange.request.connection, exchange.headerBytes + announced, monotonicNow());
    if (outcome != AdmissionOutcome::Admitted) {
        return respond(exchange, makeRefusal(exchange.request.token, outcome));
    }
    exchange.reservedBytes = announced;
    receiving_[exchange.request.connection] = &exchange;
    return MHD_YES;
}

MHD_Result HttpServer::Impl::receiveBody(Exchange &exchange, const char *data, size_t size)
{
    HttpRequest &request = exchange.request;
    if (!receiving_.contains(request.connection)) {
        return MHD_NO; // Evicted.
    }
    const size_t bytes = request.body.size() + size;
    if (bytes > options_.maxBodyBytes) {
        connections_.recordTooLarge();
        connections_.reject(request.connection, makeBodyTooLargeResponse(request.token, options_.maxBodyBytes));
        return MHD_NO;
    }
    if (const AdmissionOutcome outcome = growBody(exchange, bytes); outcome != AdmissionOutcome::Admitted) {
        connections_.reject(request.connection, makeRefusal(request.token, outcome));
        return MHD_NO;
    }
    request.body.append(data, size);
    connections_.recordProgress(request.connection, size, monotonicNow());
    return MHD_YES;
}

/** Makes room for a body of @p bytes. While the memory of a chunked body grows, the old and the new one are held. */
AdmissionOutcome HttpServer::Impl::growBody(Exchange &exchange, size_t bytes)
{
    std::string &body = exchange.request.body;
    const ConnectionId connection = exchange.request.connection;
    if (bytes > exchange.reservedBytes) {
        const size_t grown = std::min(std::max(2 * bytes, FirstChunkBytes), options_.maxBodyBytes);
        const AdmissionOutcome outcome
            = connections_.resize(connection, exchange.headerBytes + grown + body.capacity(), monotonicNow());
        if (outcome != AdmissionOutcome::Admitted) {
            return outcome;
        }
        exchange.reservedBytes = grown;
        body.reserve(grown);
        return connections_.resize(connection, exchange.headerBytes + grown, monotonicNow());
    }
    body.reserve(exchange.reservedBytes);
    return AdmissionOutcome::Admitted;
}

/** Frees the body of an evicted connection, of which the library takes notice only later. */
void HttpServer::Impl::freeBody(ConnectionId connection)
{
    if (const auto found = receiving_.find(connection); found != receiving_.end()) {
        std::string().swap(found->second->request.body);
        receiving_.erase(found);
    }
}

/** Whether there is memory for the response until the client has read it. Small ones are always admitted. */
bool HttpServer::Impl::admitResponse(const HttpRequest &request, const HttpResponse &response)
{
    const size_t bytes = response.body.size() > SmallResponseBytes ? response.body.size() : 0;
    const AdmissionOutcome outcome = connections_.beginResponse(request.connection, bytes, monotonicNow());
    return bytes == 0 || outcome == AdmissionOutcome::Admitted;
}

/** Sends a response to a request that has changed nothing here. */
MHD_Result HttpServer::Impl::respond(const Exchange &exchange, const HttpResponse &response)
{
    return queueResponse(
        exchange.connection,
        admitResponse(exchange.request, response) ? response : makeRefusal(response.token, AdmissionOutcome::Refused));
}

MHD_Result HttpServer::Impl::dispatch(Exchange &exchange)
{
    const uint64_t token = exchange.request.token;
    if (exchange.isDispatched) {
        absl::MutexLock lock(&mutex_);
        return exchange.response ? queueResponse(exchange.connection, *exchange.response) : MHD_NO;
    }
    exchange.isDispatched = true;
    if (receiving_.erase(exchange.request.connection) == 0) {
        return MHD_NO; // Evicted.
    }
    const AdmissionOutcome outcome = connections_.beginCall(exchange.request.connection, monotonicNow());
    if (outcome != AdmissionOutcome::Admitted) {
        return respond(exchange, makeRefusal(token, outcome));
    }
    if (const auto response = syncHandler_(exchange.request)) {
        std::string().swap(exchange.request.body);
        return respond(exchange, *response);
    }
    {
        absl::MutexLock lock(&mutex_);
        // Work for a client whose disconnect can't be seen would go on beside what it sends again elsewhere.
        if (!watchForDisconnect(exchange.connection, token)) {
            return respond(exchange, makeRefusal(token, AdmissionOutcome::Refused));
        }
        pending_[token] = &exchange;
        MHD_suspend_connection(exchange.connection);
    }
    if (!asyncHandler_(std::move(exchange.request))) {
        reply(makeRefusal(token, AdmissionOutcome::Refused));
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
    // A call that may have run gets its own response or none: then the client asks again.
    if (admitResponse(exchange->request, response)) {
        exchange->response = response;
    }
    MHD_resume_connection(exchange->connection);
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
    server->receiving_.erase(exchange->request.connection);
    server->connections_.endExchange(exchange->request.connection, monotonicNow());
    delete exchange;
    *context = nullptr;
}

void HttpServer::Impl::onConnection(void *self,
                                    MHD_Connection *connection,
                                    void **context,
                                    MHD_ConnectionNotificationCode code)
{
    auto *server = static_cast<Impl *>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        const MonotonicTime now = monotonicNow();
        *context = new ConnectionContext{server->connections_.open(info->connect_fd, now), now};
        return;
    }
    const std::unique_ptr<ConnectionContext> owned(static_cast<ConnectionContext *>(*context));
    server->connections_.close(owned->id);
    *context = nullptr;
}

AdmissionOutcome HttpServer::Impl::reserve(const HttpRequest &request, size_t bytes)
{
    return connections_.resize(request.connection, headerBytes(request) + bytes, monotonicNow());
}

void HttpServer::Impl::closeExpired(MonotonicTime now)
{
    connections_.closeExpired(now);
}

ListenerUsage HttpServer::Impl::usage() const
{
    return connections_.usage();
}

HttpServer::HttpServer(HttpServerOptions options, AsyncHandler asyncHandler, SyncHandler syncHandler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(asyncHandler), std::move(syncHandler)))
{
    // The handlers may use this object, so no request is handled before it has its implementation.
    impl_->start();
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

AdmissionOutcome HttpServer::reserve(const HttpRequest &request, size_t bytes)
{
    return impl_->reserve(request, bytes);
}

void HttpServer::closeExpired(MonotonicTime now)
{
    impl_->closeExpired(now);
}

ListenerUsage HttpServer::usage() const
{
    return impl_->usage();
}

} // namespace marjoramferry
