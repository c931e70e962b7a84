#pragma once

#include "core/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** One HTTP call. */
struct HttpCall
{
    std::string method = "POST";
    std::string url;
    std::string body;
    std::vector<std::string> headers; ///< As "Name: value".
    Milliseconds timeout{1000};
    std::optional<MonotonicTime> sendDeadline; ///< The request doesn't go out after this.
};

enum class HttpOutcome {
    Answered,
    NotSent, ///< The request never went out.
    Uncertain, ///< It went out, and no whole answer came.
};

struct HttpResult
{
    HttpOutcome outcome = HttpOutcome::Uncertain;
    int status = 0;
    std::string body;
    std::string errorMessage; ///< Why there is no answer.
};

/**
 * Makes HTTP calls over kept connections, on one thread.
 *
 * A call is sent at most once: the library's own repetition over a fresh connection is stopped.
 */
class HttpClient
{
public:
    /** Called on the client's thread. */
    using Done = std::function<void(HttpResult)>;

    explicit HttpClient(long connectionsPerHost);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void call(HttpCall call, Done done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
