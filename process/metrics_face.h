#pragma once

#include "connection/http_server.h"
#include "process/metrics.h"

#include <optional>

namespace marjoramferry {

/** Answers GET /metrics; other requests get a 404. */
HttpResponse answerMetrics(const HttpRequest &request, const Metrics &metrics, const LinkTraffic &traffic);

} // namespace marjoramferry
