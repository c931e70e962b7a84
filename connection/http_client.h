#pragma once

#include "core/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** A request to be sent by an HttpClient. */
struct HttpCall
{
    std::string method = "POST";
    std::string url;
    std::string body;
    std::vector<std::string> headers; ///< Each as "Name: value".
    Milliseconds timeout{1000}; ///< For the whole call, including connecting and reading the response.
    /** The request is not sent at or after this time, on the clock of monotonicNow(). */
    std::optional<MonotonicTime> sendDeadline;
    bool usesNewConnection = false; ///< Instead of an open one, which may be dead without having been reset.
};

enum class HttpOutcome {
    Answered,
    NotSent, ///< The request was not sent.
    Uncertain, ///< The request was sent, but no complete response was received. The server may have processed it.
};

struct HttpResult
{
    HttpOutcome outcome = HttpOutcome::Uncertain;
    int status = 0;
    std::string body;
    std::string errorMessage; ///< Why there is no response; empty if there is one.
    bool isRefused = false; ///< No process accepts connections at the address.
    bool isBrokenOff = false; ///< The connection has ended without a response.
};

/**
 * An HTTP client with connection reuse and a single I/O thread.
 *
 * Sends each request at most once: libcurl's automatic retry on a new connection is suppressed.
 */
class HttpClient
{
public:
    /** Called on the client's I/O thread. */
    using Callback = std::function<void(HttpResult)>;

    explicit HttpClient(long connectionsPerHost);
    ~HttpClient(); ///< Stops the client.

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Never blocks. After stop(), calls the callback at once, on this thread. */
    void call(HttpCall call, Callback callback);

    /**
     * Ends all calls, each with its callback, and the I/O thread. Must not be called by a callback. Callbacks can make
     * further calls, which are not sent, but must not do so without end.
     */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
