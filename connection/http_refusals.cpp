#include "connection/http_refusals.h"

#include "core/error.h"
#include "event/error_json.h"

#include <absl/strings/str_cat.h>

namespace marjoramferry {

namespace {

constexpr int StatusTimeout = 408;
constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int RetryAfterMs = 1000;

} // namespace

HttpResponse makeRefusal(uint64_t token, AdmissionOutcome outcome)
{
    if (outcome == AdmissionOutcome::TooLarge) {
        const Error error(ErrorKind::TooLarge,
                          "request",
                          "needs more memory than this process has for all of them",
                          "split the job or shorten it");
        return HttpResponse{token, StatusTooLarge, renderError(error)};
    }
    return HttpResponse{token,
                        StatusUnavailable,
                        R"({"error":{"kind":"busy","message":"too many requests wait here; come back later"}})",
                        RetryAfterMs};
}

HttpResponse makeBodyTooLargeResponse(uint64_t token, size_t maxBodyBytes)
{
    const Error error(ErrorKind::TooLarge,
                      "body",
                      absl::StrCat("is larger than ", maxBodyBytes, " bytes"),
                      "split the job or shorten its payloads");
    return HttpResponse{token, StatusTooLarge, renderError(error)};
}

HttpResponse makeTimeoutResponse()
{
    HttpResponse response;
    response.status = StatusTimeout;
    response.body = R"({"error":{"kind":"timeout","message":"the body took too long; send it faster"}})";
    return response;
}

} // namespace marjoramferry
