#include "standins/platform_store.h"

#include "core/clock.h"

#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusConflict = 412;
constexpr int StatusAnswerLost = 500;
constexpr int StatusOutage = 503;
constexpr Milliseconds FeedPollInterval{10}; ///< Between checks for new rows while a feed request waits.

HttpServerOptions serverOptions(const std::string &listenAddress)
{
    HttpServerOptions options;
    options.listenAddress = listenAddress;
    options.includeQuery = true;
    return options;
}

json rowToJson(const std::pair<std::string, std::string> &name,
               const std::string &value,
               int64_t version,
               bool isDeleted)
{
    json row = {{"table", name.first}, {"part", ""}, {"key", name.second}, {"ver", version}};
    if (isDeleted) {
        row["deleted"] = true;
    } else {
        row["value"] = value;
    }
    return row;
}

std::string queryArgument(const HttpRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string("0") : found->second;
}

} // namespace

PlatformStoreStandin::PlatformStoreStandin(const std::string &listenAddress)
    : http_(
        serverOptions(listenAddress),
        [this](const HttpRequest &request) { return onRequest(request); },
        [](const HttpRequest &) { return std::nullopt; })
{
}

bool PlatformStoreStandin::onRequest(const HttpRequest &request)
{
    HttpResponse response;
    Milliseconds latency{0};
    try {
        absl::MutexLock lock(&mutex_);
        const bool isAvailable = !faults_.outage;
        if (request.path == "/api/rows-feed" && isAvailable) {
            const int64_t after = std::stoll(queryArgument(request, "after"));
            const Milliseconds wait(std::stoll(queryArgument(request, "wait-ms")));
            timers_.after(faults_.latency, [this, request, after, deadline = monotonicNow() + wait] {
                answerFeed(request.token, queryArgument(request, "table"), after, deadline);
            });
            return true;
        }
        response = handle(request);
        latency = request.path == "/faults" ? Milliseconds(0) : faults_.latency;
    } catch (const std::exception &error) {
        response = HttpResponse{0, StatusMalformed, json{{"error", error.what()}}.dump()};
    }
    response.token = request.token;
    timers_.after(latency, [this, response] { http_.reply(response); });
    return true;
}

HttpResponse PlatformStoreStandin::handle(const HttpRequest &request)
{
    if (request.path == "/faults") {
        setFaults(json::parse(request.body));
        return HttpResponse{0, StatusOk, "{}"};
    }
    if (faults_.outage) {
        return HttpResponse{0, StatusOutage, "{}"};
    }
    if (request.path == "/api/rows-tx") {
        return commit(json::parse(request.body));
    }
    if (request.path == "/api/rows-get") {
        return read(queryArgument(request, "table"));
    }
    return HttpResponse{0, StatusNotFound, "{}"};
}

HttpResponse PlatformStoreStandin::commit(const json &body)
{
    for (const json &condition : body.at("expected-rev")) {
        const auto found = rows_.find({condition.at("table"), condition.at("key")});
        const bool exists = found != rows_.end() && !found->second.isDeleted;
        if (condition.at("ver").get<int64_t>() != (exists ? found->second.version : 0)) {
            return HttpResponse{0, StatusConflict, json{{"ver", version_}, {"rows", json::array()}}.dump()};
        }
    }
    ++version_;
    for (const json &write : body.at("writes")) {
        rows_[{write.at("table"), write.at("key")}] = StoredRow{write.at("value"), version_, false};
    }
    for (const json &removal : body.at("remove")) {
        rows_[{removal.at("table"), removal.at("key")}] = StoredRow{"", version_, true};
    }
    const int status = faults_.loseAnswers ? StatusAnswerLost : StatusOk;
    return HttpResponse{0, status, json{{"ver", version_}}.dump()};
}

HttpResponse PlatformStoreStandin::read(const std::string &table)
{
    json rows = json::array();
    for (const auto &[name, row] : rows_) {
        if (name.first == table && !row.isDeleted) {
            rows.push_back(rowToJson(name, row.value, row.version, false));
        }
    }
    return HttpResponse{0, StatusOk, json{{"rows", rows}, {"has-more", false}, {"ver", version_}}.dump()};
}

json PlatformStoreStandin::changesAfter(const std::string &table, int64_t after)
{
    std::map<int64_t, json> changed;
    for (const auto &[name, row] : rows_) {
        if (name.first == table && row.version > after) {
            changed[row.version].push_back(rowToJson(name, row.value, row.version, row.isDeleted));
        }
    }
    json rows = json::array();
    for (const auto &[version, versionRows] : changed) {
        rows.insert(rows.end(), versionRows.begin(), versionRows.end());
    }
    return rows;
}

void PlatformStoreStandin::answerFeed(uint64_t token, const std::string &table, int64_t after, MonotonicTime deadline)
{
    HttpResponse response;
    response.token = token;
    {
        absl::MutexLock lock(&mutex_);
        const json rows = changesAfter(table, after);
        if (faults_.outage) {
            response.status = StatusOutage;
            response.body = "{}";
        } else if (after < faults_.oldestFeedVersion) {
            response.status = StatusGone;
            response.body = "{}";
        } else if (!rows.empty() || monotonicNow() >= deadline) {
            response.body = json{{"rows", rows}, {"ver", version_}}.dump();
        } else {
            timers_.after(FeedPollInterval, [=, this] { answerFeed(token, table, after, deadline); });
            return;
        }
    }
    http_.reply(response);
}

void PlatformStoreStandin::setFaults(const json &body)
{
    faults_.latency = Milliseconds(body.value("latency_ms", 0));
    faults_.outage = body.value("outage", false);
    faults_.loseAnswers = body.value("lose_answers", false);
    if (body.value("forget", false)) {
        faults_.oldestFeedVersion = version_ + 1;
        ++version_;
    }
}

} // namespace marjoramferry
