#include "standins/table_standin.h"

#include "core/error.h"
#include "event/error_json.h"
#include "version/json_fields.h"

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusAnswerLost = 500;
constexpr int StatusOutage = 503;
constexpr std::string_view ObjectsPath = "/v1/objects/";
constexpr int MaxLatencyMs = 60'000;

TableTransaction parseTransaction(const json &body)
{
    TableTransaction transaction;
    for (const json &item : body.at("conditions")) {
        transaction.conditions.push_back(RowCondition{item.at("key"), item.at("version")});
    }
    for (const json &item : body.at("puts")) {
        transaction.puts.push_back(RowPut{item.at("key"), item.at("value")});
    }
    transaction.deletes = body.at("deletes").get<std::vector<std::string>>();
    return transaction;
}

json toJson(const TableResult &result)
{
    json body = {{"version", result.version}, {"rows", json::array()}};
    for (const Row &row : result.rows) {
        body["rows"].push_back({{"key", row.key}, {"version", row.version}, {"value", row.value}});
    }
    return body;
}

HttpServerOptions serverOptions(const std::string &listenAddress)
{
    HttpServerOptions options;
    options.listenAddress = listenAddress;
    options.maxBodyBytes = 64U << 20U;
    return options;
}

} // namespace

TableStandin::TableStandin(const std::string &listenAddress)
    : http_(
        serverOptions(listenAddress),
        [this](const HttpRequest &request) { return onRequest(request); },
        [](const HttpRequest &) { return std::nullopt; })
{
}

bool TableStandin::onRequest(const HttpRequest &request)
{
    Milliseconds latency{0};
    HttpResponse response;
    {
        absl::MutexLock lock(&mutex_);
        response = handle(request);
        latency = request.path == "/faults" ? Milliseconds(0) : faults_.latency;
    }
    response.token = request.token;
    if (latency.count() == 0) {
        http_.reply(response);
    } else {
        timers_.after(latency, [this, response] { http_.reply(response); });
    }
    return true;
}

HttpResponse TableStandin::handle(const HttpRequest &request)
{
    try {
        if (request.path == "/faults") {
            setFaults(request.body);
            return HttpResponse{0, StatusOk, "{}"};
        }
        if (request.path == "/counts") {
            return HttpResponse{0, StatusOk, json{{"reads", readCount_}, {"transactions", transactionCount_}}.dump()};
        }
        if (faults_.outage) {
            return HttpResponse{0, StatusOutage, "{}"};
        }
        return request.path.starts_with(ObjectsPath) ? handleObject(request) : handleTable(request);
    } catch (const Error &error) {
        return HttpResponse{0, StatusMalformed, renderError(error)};
    } catch (const json::exception &error) {
        return HttpResponse{0, StatusMalformed, json{{"error", error.what()}}.dump()};
    }
}

HttpResponse TableStandin::handleObject(const HttpRequest &request)
{
    if (request.method == "PUT") {
        objects_[request.path] = request.body;
        return HttpResponse{0, StatusOk, "{}"};
    }
    if (request.method == "DELETE") {
        objects_.erase(request.path);
        return HttpResponse{0, StatusOk, "{}"};
    }
    const auto found = objects_.find(request.path);
    return found == objects_.end() ? HttpResponse{0, StatusNotFound, "{}"} : HttpResponse{0, StatusOk, found->second};
}

HttpResponse TableStandin::handleTable(const HttpRequest &request)
{
    const json body = parseJson(request.body, "body");
    if (request.path == "/v1/read") {
        ++readCount_;
        return HttpResponse{0, StatusOk, toJson(model_.apply(TableRead{body.at("prefix")})).dump()};
    }
    ++transactionCount_;
    const TableResult result = model_.apply(parseTransaction(body));
    if (faults_.loseAnswers) {
        return HttpResponse{0, StatusAnswerLost, "{}"};
    }
    const int status = result.outcome == TableOutcome::Conflict ? StatusConflict : StatusOk;
    return HttpResponse{0, status, toJson(result).dump()};
}

void TableStandin::setFaults(const std::string &body)
{
    const json parsed = parseJson(body, "faults");
    requireOnlyFields(parsed, "", {"latency_ms", "outage", "lose_answers"});
    TableFaults faults;
    faults.latency = Milliseconds(optionalInteger(parsed, "", "latency_ms", 0, 0, MaxLatencyMs));
    faults.outage = optionalBool(parsed, "", "outage", false);
    faults.loseAnswers = optionalBool(parsed, "", "lose_answers", false);
    faults_ = faults;
}

} // namespace marjoramferry
