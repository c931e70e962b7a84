#pragma once

#include "connection/http_server.h"
#include "process/metrics.h"

#include <vector>

namespace marjoramferry {

/** Answers GET /metrics with the metrics in Prometheus text format, and any other request with status 404. */
HttpResponse handleMetricsRequest(const HttpRequest &request,
                                  const Metrics &metrics,
                                  const LinkTraffic &traffic,
                                  const std::vector<ListenerReport> &listeners);

} // namespace marjoramferry
