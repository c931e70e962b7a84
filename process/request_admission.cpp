#include "process/request_admission.h"

#include "connection/http_refusals.h"
#include "core/json_nesting.h"

namespace marjoramferry {

std::optional<HttpResponse> reserveMemory(HttpServer &server, const HttpRequest &request, size_t bytes)
{
    const AdmissionOutcome outcome = server.reserve(request, bytes);
    return outcome == AdmissionOutcome::Admitted ? std::nullopt : std::optional(makeRefusal(request.token, outcome));
}

std::optional<HttpResponse> reserveParsingMemory(HttpServer &server, const HttpRequest &request)
{
    return reserveMemory(server, request, request.body.capacity() + estimateJsonTreeBytes(request.body));
}

} // namespace marjoramferry
