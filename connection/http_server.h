#pragma once

#include "core/listener_budget.h"
#include "event/http_event.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct HttpServerOptions
{
    std::string listenAddress; ///< host:port; the host is an IP address.
    size_t maxBodyBytes = 4U << 20U;
    ListenerLimits clients; ///< What all clients may hold together.
    std::vector<std::string> headers; ///< Lower-case names of the request headers to copy into HttpRequest.
    bool includeQuery = false; ///< Whether to copy the query parameters into HttpRequest.
    bool watchesDisconnects = false; ///< Whether takeDisconnected() reports clients that disconnect.
};

/** An HTTP server with a single I/O thread. Pending requests are suspended and hold no thread. */
class HttpServer
{
public:
    /** Accepts a request to be answered later through reply(). Returns false if its queue is full. */
    using AsyncHandler = std::function<bool(HttpRequest)>;

    /** Answers a request on the I/O thread, or returns nothing to pass it to the AsyncHandler. */
    using SyncHandler = std::function<std::optional<HttpResponse>(const HttpRequest &)>;

    /** Throws Settings if the address can't be parsed and Unavailable if it can't be bound. */
    HttpServer(HttpServerOptions options, AsyncHandler asyncHandler, SyncHandler syncHandler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Answers the request with this token. Does nothing if the request is not pending. */
    void reply(const HttpResponse &response);

    /**
     * Returns the pending requests whose client has disconnected since the last call. A request is watched before it
     * is passed to the AsyncHandler, so none that the handler has accepted is missed, however early its client left.
     */
    std::vector<uint64_t> takeDisconnected();

    /** Whether the request with this token still waits for its response. */
    bool isPending(uint64_t token) const;

    /**
     * Reserves memory for a request, in total and until its response. May be called by the handlers only, on the I/O
     * thread; the response to a request that is not admitted is makeRefusal().
     */
    AdmissionOutcome reserve(const HttpRequest &request, size_t bytes);

    /** Closes the connections of clients that take too long. Looks once a second; to be called often, by one thread. */
    void closeExpired(MonotonicTime now);

    ListenerUsage usage() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
