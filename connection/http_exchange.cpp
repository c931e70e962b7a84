#include "connection/http_exchange.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace marjoramferry {

namespace {

constexpr int MillisecondsPerSecond = 1000;

using Headers = std::map<std::string, std::string>;
using HeaderSelection = std::pair<const std::vector<std::string> &, Headers &>;

MHD_Result collectHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto &[wantedNames, headers] = *static_cast<HeaderSelection *>(context);
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

Headers readHeaders(MHD_Connection *connection, const std::vector<std::string> &names)
{
    Headers headers;
    if (!names.empty()) {
        HeaderSelection selection(names, headers);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &selection);
    }
    return headers;
}

std::map<std::string, std::string> readQuery(MHD_Connection *connection)
{
    std::map<std::string, std::string> query;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQueryParameter, &query);
    return query;
}

uint64_t announcedBodyBytes(MHD_Connection *connection)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    uint64_t bytes = 0;
    return value != nullptr && absl::SimpleAtoi(value, &bytes) ? bytes : 0;
}

size_t headerBytes(const HttpRequest &request)
{
    constexpr size_t Copies = 2;
    const auto bytesOf = [](size_t sum, const auto &each) { return sum + each.first.size() + each.second.size(); };
    const size_t headers = std::accumulate(request.headers.begin(), request.headers.end(), size_t{0}, bytesOf);
    const size_t query = std::accumulate(request.query.begin(), request.query.end(), size_t{0}, bytesOf);
    return Copies * (request.path.size() + headers + query);
}

int retryAfterSeconds(const HttpResponse &response)
{
    return (response.retryAfterMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
}

MHD_Result queueResponse(MHD_Connection *connection, const HttpResponse &response)
{
    // MHD copies the body, but its interface requires a non-const pointer.
    auto *body = const_cast<char *>(response.body.data());
    MHD_Response *mhdResponse = MHD_create_response_from_buffer(response.body.size(), body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
    if (response.retryAfterMs > 0) {
        MHD_add_response_header(
            mhdResponse, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(retryAfterSeconds(response)).c_str());
    }
    if (response.closesConnection) {
        MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(response.status), mhdResponse);
    MHD_destroy_response(mhdResponse);
    return result;
}

} // namespace marjoramferry
