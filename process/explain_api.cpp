#include "process/explain_api.h"

#include "core/error.h"
#include "event/error_json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace marjoramferry {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusNotFound = 404;
constexpr const char *Path = "/v1/explain";
constexpr const char *QueueParameter = "queue";

/** An integer parameter. */
struct Parameter
{
    const char *name;
    const char *unit;
    int least;
    int most;
    bool isRequired;
};

/** The largest jobs have 270 tasks; the bound limits how long an answer keeps the entry from other work. */
constexpr Parameter Tasks{"tasks", "tasks", 1, 270, true};
constexpr Parameter Cpu{"cpu", "thousandths of a core", 1, 10'000'000, true};
constexpr Parameter Memory{"memory", "MB", 0, 1'000'000'000, false};
constexpr Parameter EstimateMs{"estimate_ms", "ms", 1, 3'600'000, true};
constexpr Parameter TimeoutMs{"timeout_ms", "ms", 0, 3'600'000, false};
constexpr std::array Parameters{Tasks, Cpu, Memory, EstimateMs, TimeoutMs};

void rejectUnknownParameters(const HttpRequest &request)
{
    for (const auto &[name, value] : request.query) {
        const auto isNamed = [&](const Parameter &each) { return name == each.name; };
        if (name != QueueParameter && std::ranges::none_of(Parameters, isNamed)) {
            throw Error(ErrorKind::Malformed,
                        name,
                        "is not a parameter",
                        "use queue, tasks, cpu, memory, estimate_ms and timeout_ms");
        }
    }
}

/** Returns 0 for an optional parameter that is not set. */
int parseParameter(const HttpRequest &request, const Parameter &parameter)
{
    const auto found = request.query.find(parameter.name);
    if (found == request.query.end() && !parameter.isRequired) {
        return 0;
    }
    int value = 0;
    if (found == request.query.end() || !absl::SimpleAtoi(found->second, &value) || value < parameter.least
        || value > parameter.most) {
        throw Error(
            ErrorKind::Malformed,
            parameter.name,
            found == request.query.end() ? "is missing" : "is not a valid number",
            absl::StrCat("pass a number of ", parameter.unit, " from ", parameter.least, " to ", parameter.most));
    }
    return value;
}

PlacementQuery parseQuery(const HttpRequest &request)
{
    rejectUnknownParameters(request);
    PlacementQuery query;
    const auto queue = request.query.find(QueueParameter);
    if (queue == request.query.end() || queue->second.empty()) {
        throw Error(ErrorKind::Malformed, QueueParameter, "is missing", "pass the name of a queue");
    }
    query.queue = queue->second;
    query.tasks = parseParameter(request, Tasks);
    query.demand = Demand{parseParameter(request, Cpu), parseParameter(request, Memory), 0};
    query.estimate = Milliseconds(parseParameter(request, EstimateMs));
    query.timeout = Milliseconds(parseParameter(request, TimeoutMs));
    return query;
}

const char *nameOf(HealthStatus status)
{
    switch (status) {
    case HealthStatus::Healthy:
        return "healthy";
    case HealthStatus::Probing:
        return "probing";
    case HealthStatus::Ejected:
        return "ejected";
    }
    return "unknown";
}

double roundToHundredth(double value)
{
    return std::round(value * 100) / 100;
}

json toJson(const WorkerPlacement &worker)
{
    return json{{"agent", worker.agent},
                {"worker", worker.worker},
                {"domain", worker.domain},
                {"free_cpu", worker.available.cpuMillis},
                {"free_memory", worker.available.memoryMb},
                {"cpu", worker.capacity.cpuMillis},
                {"slowdown", roundToHundredth(worker.slowdown)},
                {"health", nameOf(worker.health)},
                {"state_age_ms", worker.stateAge.count()},
                {"against", worker.reasonAgainst},
                {"score", worker.score ? json(roundToHundredth(*worker.score)) : json()},
                {"selected_tasks", worker.selectedTasks}};
}

json toJson(const PlacementExplanation &explanation)
{
    json workers = json::array();
    std::ranges::transform(
        explanation.workers, std::back_inserter(workers), [](const WorkerPlacement &each) { return toJson(each); });
    return json{{"queue", explanation.queue},
                {"service", explanation.service},
                {"priority", explanation.priority},
                {"isolated", explanation.isIsolated},
                {"admitted", explanation.rejection.empty()},
                {"rejection", explanation.rejection},
                {"expected_late", explanation.isExpectedLate},
                {"expected_wait_ms", explanation.expectedWait.count()},
                {"expected_run_ms", explanation.expectedRunTime.count()},
                {"waiting_jobs", explanation.waitingJobs},
                {"workers", std::move(workers)}};
}

} // namespace

bool isExplainRequest(const HttpRequest &request)
{
    return request.method == "GET" && request.path == Path;
}

std::variant<ExplainPlacement, HttpResponse> parseExplainRequest(const HttpRequest &request)
{
    try {
        return ExplainPlacement{request.token, parseQuery(request)};
    } catch (const Error &error) {
        return HttpResponse{request.token, StatusMalformed, renderError(error)};
    }
}

HttpResponse toHttpResponse(const PlacementExplained &answer)
{
    if (answer.explanation) {
        return HttpResponse{answer.token, StatusOk, toJson(*answer.explanation).dump()};
    }
    const Error error(ErrorKind::NotFound,
                      QueueParameter,
                      "is not in this entry's configuration",
                      "pass the name of a configured queue, as the entry's log lines have it");
    return HttpResponse{answer.token, StatusNotFound, renderError(error)};
}

} // namespace marjoramferry
