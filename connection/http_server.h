#pragma once

#include "core/bounded_queue.h"
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
    unsigned connectionLimit = 4000;
    std::vector<std::string> headers; ///< Lower-case names of the request headers to copy into HttpRequest.
    bool includeQuery = false; ///< Whether to copy the query parameters into HttpRequest.
    /** Called on a separate thread when the client of a pending request disconnects. May be empty. */
    std::function<void(uint64_t token)> onClientDisconnected;
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

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
