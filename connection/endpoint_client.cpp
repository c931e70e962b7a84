#include "connection/endpoint_client.h"

#include "core/clock.h"
#include "core/json_nesting.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr size_t MaxErrorBodyBytes = 200;

std::string buildRequestBody(const CallEndpoint &command)
{
    const json fields = {{"job_id", command.key.jobId},
                         {"task_id", command.key.taskId},
                         {"tenant", command.tenant},
                         {"service", command.service}};
    // The payload is already JSON text, so it is inserted without parsing it.
    std::string body = fields.dump();
    body.pop_back();
    return body + ",\"payload\":" + command.payload + "}";
}

bool isMarkedNotRun(const json &body)
{
    return body.is_object() && body.contains("not_run") && body["not_run"] == true;
}

EndpointResult parseResult(const TaskKey &key, const HttpResult &http, int runMs)
{
    EndpointResult result;
    result.key = key;
    result.runMs = runMs;
    if (http.outcome == HttpOutcome::NotSent) {
        result.state = wire::StartState::REFUSED;
        return result;
    }
    if (http.outcome == HttpOutcome::Uncertain) {
        result.state = wire::StartState::UNCERTAIN;
        result.output = http.errorMessage;
        return result;
    }
    // A body that is nested too deeply counts as one that is not JSON.
    const json body = isNestedTooDeeply(http.body) ? json() : json::parse(http.body, nullptr, false);
    if (http.status == StatusUnavailable && isMarkedNotRun(body)) {
        result.state = wire::StartState::REFUSED;
        return result;
    }
    if (http.status != StatusOk || !body.is_object() || !body.contains("output")) {
        result.state = wire::StartState::FAILED;
        result.output = "HTTP " + std::to_string(http.status) + " " + http.body.substr(0, MaxErrorBodyBytes);
        return result;
    }
    result.state = wire::StartState::SUCCEEDED;
    result.output = body["output"].dump();
    return result;
}

} // namespace

EndpointClient::EndpointClient(HttpClient &http)
    : http_(http)
{
}

void EndpointClient::call(const CallEndpoint &command, Callback callback)
{
    HttpCall call;
    call.url = "http://" + command.address + "/run";
    call.body = buildRequestBody(command);
    call.timeout = command.timeout;
    call.sendDeadline = command.notAfter;
    const auto startedAt = monotonicNow();
    http_.call(std::move(call), [key = command.key, startedAt, callback = std::move(callback)](const HttpResult &http) {
        callback(parseResult(key, http, millisecondsBetween(startedAt, monotonicNow())));
    });
}

} // namespace marjoramferry
