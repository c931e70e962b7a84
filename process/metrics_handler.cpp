#include "process/metrics_handler.h"

namespace marjoramferry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

HttpReply handleMetricsRequest(const HttpRequest &request, const Metrics &metrics, const LinkTraffic &traffic)
{
    if (request.method != "GET" || request.path != "/metrics") {
        return HttpReply{
            request.token, StatusNotFound, R"({"error":{"kind":"not_found","message":"use GET /metrics"}})"};
    }
    return HttpReply{request.token, StatusOk, metrics.render(traffic), 0, "text/plain; version=0.0.4"};
}

} // namespace marjoramferry
