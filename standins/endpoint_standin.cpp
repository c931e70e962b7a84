#include "standins/endpoint_standin.h"

#include "core/clock.h"
#include "core/error.h"
#include "event/error_json.h"
#include "version/json_fields.h"

#include <thread>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusFailed = 500;
constexpr int StatusUnavailable = 503;
constexpr int MaxSleepMs = 600'000;
constexpr Milliseconds AnnounceInterval{500};
constexpr Milliseconds AnnounceTimeout{1000};

HttpServerOptions serverOptions(const std::string &listenAddress)
{
    HttpServerOptions options;
    options.listenAddress = listenAddress;
    return options;
}

} // namespace

EndpointStandin::EndpointStandin(EndpointOptions options)
    : options_(std::move(options))
    , client_(1)
    , http_(
          serverOptions(options_.listenAddress),
          [this](const HttpRequest &request) { return onRequest(request); },
          [](const HttpRequest &) { return std::nullopt; })
{
    if (!options_.startLog.empty()) {
        startLog_.open(options_.startLog, std::ios::app);
    }
}

bool EndpointStandin::onRequest(const HttpRequest &request)
{
    try {
        if (request.path == "/run") {
            startTask(request.token, parseJson(request.body, "body"));
            return true;
        }
        absl::MutexLock lock(&mutex_);
        if (request.path == "/faults") {
            const json parsed = parseJson(request.body, "faults");
            requireOnlyFields(parsed, "", {"fail_all", "straggle_ms"});
            faults_.failAll = optionalBool(parsed, "", "fail_all", false);
            faults_.extraRunTime = Milliseconds(optionalInteger(parsed, "", "straggle_ms", 0, 0, MaxSleepMs));
        }
        http_.reply(HttpResponse{request.token, StatusOk, json(starts_).dump()});
    } catch (const Error &error) {
        http_.reply(HttpResponse{request.token, StatusMalformed, renderError(error)});
    }
    return true;
}

void EndpointStandin::startTask(uint64_t token, const json &body)
{
    absl::MutexLock lock(&mutex_);
    if (runningTaskCount_ >= options_.slots) {
        http_.reply(HttpResponse{token, StatusUnavailable, R"({"not_run":true})"});
        return;
    }
    ++runningTaskCount_;
    const json start = {{"job", body.value("job_id", "")},
                        {"task", body.value("task_id", "")},
                        {"endpoint", options_.name},
                        {"at_ms", wallMilliseconds()}};
    if (startLog_.is_open()) {
        startLog_ << start.dump() << std::endl;
    }
    starts_.push_back(start);
    json payload = body.value("payload", json());
    const json sleep = payload.is_object() ? payload.value("sleep_ms", json(0)) : json(0);
    const bool isFailed = faults_.failAll || (payload.is_object() && payload.value("fail", json(false)) == json(true));
    const Milliseconds runTime = Milliseconds(sleep.is_number_integer() ? sleep.get<int>() : 0) + faults_.extraRunTime;
    if (runTime.count() == 0) {
        --runningTaskCount_;
        const json output = payload.is_object() ? payload.value("echo", json()) : json();
        http_.reply(HttpResponse{token, isFailed ? StatusFailed : StatusOk, json{{"output", output}}.dump()});
        return;
    }
    timers_.after(runTime,
                  [this, token, payload = std::move(payload), isFailed] { finishTask(token, payload, isFailed); });
}

void EndpointStandin::finishTask(uint64_t token, const json &payload, bool isFailed)
{
    {
        absl::MutexLock lock(&mutex_);
        --runningTaskCount_;
    }
    const json output = payload.is_object() ? payload.value("echo", json()) : json();
    http_.reply(HttpResponse{token, isFailed ? StatusFailed : StatusOk, json{{"output", output}}.dump()});
}

void EndpointStandin::announce(bool isLeaving)
{
    HttpCall call;
    call.url = "http://" + options_.agentAddress + "/v1/announce";
    call.timeout = AnnounceTimeout;
    call.body
        = json{{"endpoint", options_.name},
               {"service", options_.service},
               {"address", options_.listenAddress},
               {"slots", options_.slots},
               {"leaving", isLeaving},
               {"capacity",
                {{"cpus", options_.cpus}, {"memory_mb", options_.memoryMb}, {"accelerators", options_.accelerators}}}}
              .dump();
    client_.call(std::move(call), [](const HttpResult &) {});
}

void EndpointStandin::waitForNextAnnouncement()
{
    std::this_thread::sleep_for(AnnounceInterval);
}

int EndpointStandin::runningTaskCount()
{
    absl::MutexLock lock(&mutex_);
    return runningTaskCount_;
}

} // namespace marjoramferry
