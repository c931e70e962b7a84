#include "standins/platform_worker.h"

#include "core/clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <thread>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusConflict = 409;
constexpr int StatusOtherIncarnation = 421;
constexpr Milliseconds AnnouncePace{300};
constexpr Milliseconds AnnounceTimeout{1000};
constexpr Milliseconds LateBy{2500};
constexpr int LateEvery = 100; ///< The share of late starts is counted over so many.

HttpServerOptions serverOptions(const std::string &listenAddress)
{
    HttpServerOptions options;
    options.listenAddress = listenAddress;
    options.headers = {"expect-instance"};
    return options;
}

RunKey readKey(const json &body)
{
    const std::vector<std::string> parts = absl::StrSplit(body.at("task").get<std::string>(), '.');
    RunKey key;
    key.jobId = parts.at(0);
    key.step = std::stoi(parts.at(2));
    key.task = std::stoi(parts.at(3));
    key.attempt = body.at("run");
    return key;
}

std::string nameOf(const RunKey &key)
{
    return absl::StrCat(key.jobId, ".0.", key.step, ".", key.task);
}

const char *nameOf(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lapsed";
    case EndKind::Broken:
        return "broken";
    }
    return "failed";
}

const char *reasonOf(Rejection rejection)
{
    switch (rejection) {
    case Rejection::StaleFence:
        return "fence";
    case Rejection::OldAttempt:
        return "old";
    case Rejection::LeaseExpired:
        return "late";
    default:
        return "room";
    }
}

int64_t milliseconds(MonotonicTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

} // namespace

PlatformWorkerStandin::PlatformWorkerStandin(PlatformWorkerOptions options)
    : options_(std::move(options))
    , client_(1)
    , http_(
          serverOptions(options_.listenAddress),
          [this](const HttpRequest &request) { return onRequest(request); },
          [](const HttpRequest &) { return std::nullopt; })
{
    if (!options_.runLog.empty()) {
        absl::MutexLock lock(&mutex_);
        log_.open(options_.runLog, std::ios::app);
    }
    restart();
}

void PlatformWorkerStandin::restart()
{
    absl::MutexLock lock(&mutex_);
    if (model_) {
        model_->crash(monotonicNow());
        writeRunLog();
    }
    loggedEnds_.clear();
    sequence_ = 0;
    const int64_t bornMs = wallMilliseconds();
    model_ = std::make_unique<WorkerModel>(WorkerIdentity{options_.name, bornMs}, 1.0, monotonicNow());
}

bool PlatformWorkerStandin::onRequest(const HttpRequest &request)
{
    try {
        if (request.path == "/faults") {
            onControl(request);
            return true;
        }
        const WorkerCall call = readCall(request);
        if (const auto *each = std::get_if<PollRuns>(&call)) {
            {
                absl::MutexLock lock(&mutex_);
                model_->call(call, monotonicNow());
            }
            hold(request.token, *each, monotonicNow() + each->wait);
            return true;
        }
        absl::MutexLock lock(&mutex_);
        if (std::holds_alternative<StartRun>(call) && ++starts_ % LateEvery < lateShare_ * LateEvery) {
            delayed_.after(LateBy, [this, call] {
                absl::MutexLock late(&mutex_);
                model_->call(call, monotonicNow());
                writeRunLog();
            });
            return true; // Never answered.
        }
        const WorkerReply reply = model_->call(call, monotonicNow());
        writeRunLog();
        respond(request.token, reply);
    } catch (const std::exception &error) {
        http_.reply(HttpResponse{request.token, StatusMalformed, json{{"error", error.what()}}.dump()});
    }
    return true;
}

void PlatformWorkerStandin::onControl(const HttpRequest &request)
{
    const json body = json::parse(request.body);
    if (body.value("restart", false)) {
        restart();
    }
    absl::MutexLock lock(&mutex_);
    lateShare_ = body.value("late_share", 0.0);
    model_->isFailing = body.value("fail_all", false);
    model_->hangsNewRuns = body.value("stuck", false);
    http_.reply(HttpResponse{request.token, StatusOk, "{}"});
}

WorkerCall PlatformWorkerStandin::readCall(const HttpRequest &request) const
{
    const json body = json::parse(request.body);
    const auto header = request.headers.find("expect-instance");
    const WorkerTarget target{"", header == request.headers.end() ? options_.name : header->second};
    const int64_t fence = body.value("fence", int64_t{0});
    if (request.path == "/api/run-start") {
        StartRun start;
        start.target = target;
        start.key = readKey(body);
        start.spec = body.at("spec");
        start.leaseEndMs = body.at("deadline-ms");
        start.fence = fence;
        return start;
    }
    if (request.path == "/api/run-stop") {
        StopRun stop;
        stop.target = target;
        stop.key = readKey(body);
        stop.fence = fence;
        return stop;
    }
    PollRuns hold;
    hold.target = target;
    hold.fence = fence;
    hold.acknowledgedEnd = body.value("observed", int64_t{0});
    hold.wait = Milliseconds(body.value("wait-ms", 0));
    if (body.contains("deadline-ms")) {
        hold.leaseEndMs = body.at("deadline-ms").get<int64_t>();
    }
    return hold;
}

void PlatformWorkerStandin::hold(uint64_t token, const PollRuns &call, MonotonicTime until)
{
    const MonotonicTime now = monotonicNow();
    absl::MutexLock lock(&mutex_);
    model_->advance(now);
    writeRunLog();
    if (model_->hasEndsAfter(call.acknowledgedEnd) || now >= until) {
        PollRuns look = call;
        look.leaseEndMs.reset();
        respond(token, model_->call(look, now));
        return;
    }
    const MonotonicTime next = std::min(until, model_->nextEnd());
    const auto wait = std::chrono::ceil<Milliseconds>(std::min<MonotonicTime::duration>(next - now, Milliseconds(50)));
    delayed_.after(std::max(wait, Milliseconds(1)), [=, this] { hold(token, call, until); });
}

void PlatformWorkerStandin::respond(uint64_t token, const WorkerReply &reply)
{
    json body = {{"clock-ms", *reply.clockMs}};
    int status = StatusOk;
    if (reply.outcome == CallOutcome::Rejected) {
        const bool isOther = reply.rejection == Rejection::OtherIncarnation;
        status = isOther ? StatusOtherIncarnation : StatusConflict;
        body["reason"] = reasonOf(reply.rejection);
    }
    if (reply.listing) {
        body["born"] = reply.listing->startTimeMs;
        body["running"] = json::array();
        body["finished"] = json::array();
        for (const RunKey &key : reply.listing->running) {
            body["running"].push_back({nameOf(key), key.attempt, "", 100, 0});
        }
        for (const ListedEnd &end : reply.listing->ended) {
            body["finished"].push_back({end.number, nameOf(end.key), end.key.attempt, nameOf(end.kind), ""});
        }
    }
    http_.reply(HttpResponse{token, status, body.dump()});
}

void PlatformWorkerStandin::writeRunLog()
{
    const auto &history = model_->history();
    for (size_t i = 0; i < history.size(); ++i) {
        const RunInterval &run = history[i];
        json line = {{"task", nameOf(run.key)},
                     {"run", run.key.attempt},
                     {"worker", options_.name},
                     {"born", model_->identity().startTimeMs},
                     {"from", milliseconds(run.from)}};
        if (i == loggedEnds_.size()) {
            loggedEnds_.push_back(false);
            line["cpu_peak"] = model_->peakCpuMillis();
            log_ << line.dump() << std::endl;
        }
        if (!loggedEnds_[i] && run.to != MonotonicTime::max()) {
            loggedEnds_[i] = true;
            line["to"] = milliseconds(run.to);
            line["done"] = run.hasSucceeded;
            log_ << line.dump() << std::endl;
        }
    }
}

void PlatformWorkerStandin::announce()
{
    HttpCall call;
    call.method = "PUT";
    call.url = absl::StrCat("http://", options_.agentAddress, "/api/instances/", options_.name);
    call.timeout = AnnounceTimeout;
    {
        absl::MutexLock lock(&mutex_);
        model_->advance(monotonicNow());
        writeRunLog();
        call.body = json{{"service", options_.service},
                         {"addr", options_.listenAddress},
                         {"zone", options_.domain},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"cold-left-ms", 0},
                         {"capacity", {{"cpu", options_.cpuMillis}, {"mem-mb", 131072}, {"gpu", 0}}},
                         {"labels", {"a", "r1"}},
                         {"clock-ms", model_->clockMs(monotonicNow())},
                         {"born", model_->identity().startTimeMs},
                         {"seq", ++sequence_}}
                        .dump();
    }
    client_.call(std::move(call), [](const HttpResult &) {});
}

void PlatformWorkerStandin::pause()
{
    std::this_thread::sleep_for(AnnouncePace);
}

} // namespace marjoramferry
