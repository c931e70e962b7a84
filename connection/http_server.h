#pragma once

#include "core/bounded_queue.h"
#include "request/entry_core.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct HttpServerOptions
{
    std::string listenAddress; ///< host:port, an IP number.
    size_t maxBodyBytes = 4U << 20U;
    unsigned connectionLimit = 4000;
    std::vector<std::string> headers; ///< Lower-case names of the request headers to keep.
    bool includeQuery = false; ///< Whether the arguments behind the path are kept.
    std::function<void(uint64_t token)> onAbandoned; ///< The caller of a waiting request has gone. May be empty.
};

/** Serves HTTP on one thread. A request waits, without a thread of its own, until it is answered. */
class HttpServer
{
public:
    /** Takes a request over; returns false when there is no room for it. */
    using Sink = std::function<bool(HttpRequest)>;

    /** Answers a request on the spot, or returns nothing to have it go to the sink. */
    using Direct = std::function<std::optional<HttpResponse>(const HttpRequest &)>;

    /** Throws Unavailable if the address can't be bound. */
    HttpServer(HttpServerOptions options, Sink sink, Direct direct);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Answers the request with this token. Does nothing if it is answered already. */
    void reply(const HttpResponse &reply);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
