#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

/** A request received by the HTTP server of a process, and the response to it. */
namespace marjoramferry {

struct HttpRequest
{
    uint64_t token = 0;
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers; ///< By lower-case name; only those the server is set to keep.
    std::map<std::string, std::string> query; ///< Empty unless the server is set to keep it.
    MonotonicTime connectedAt{}; ///< When its connection was accepted.
    uint64_t connection = 0; ///< Identifies its connection at the server.
};

struct HttpResponse
{
    uint64_t token = 0;
    int status = 200;
    std::string body;
    int retryAfterMs = 0; ///< Sent as the Retry-After header when above zero.
    std::string contentType = "application/json";
    bool closesConnection = false; ///< Closes the connection after this response.
};

} // namespace marjoramferry
