#include "process/metrics_handler.h"

namespace marjoramferry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

HttpResponse handleMetricsRequest(const HttpRequest &request,
                                  const Metrics &metrics,
                                  const LinkTraffic &traffic,
                                  const std::vector<ListenerReport> &listeners)
{
    if (request.method != "GET" || request.path != "/metrics") {
        return HttpResponse{
            request.token, StatusNotFound, R"({"error":{"kind":"not_found","message":"use GET /metrics"}})"};
    }
    return HttpResponse{request.token, StatusOk, metrics.render(traffic, listeners), 0, "text/plain; version=0.0.4"};
}

} // namespace marjoramferry
