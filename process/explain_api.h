#pragma once

#include "event/http_event.h"
#include "request/placement_explanation.h"

#include <variant>

namespace marjoramferry {

/** Whether the request asks where a job would be placed. */
bool isExplainRequest(const HttpRequest &request);

/** Parses GET /v1/explain. For invalid parameters, returns the error response, which names the parameter. */
std::variant<ExplainPlacement, HttpResponse> parseExplainRequest(const HttpRequest &request);

HttpResponse toHttpResponse(const PlacementExplained &answer);

} // namespace marjoramferry
