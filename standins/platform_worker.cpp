#include "standins/platform_worker.h"

#include "core/clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <iostream>
#include <thread>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int CrashExitCode = 70;
constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusConflict = 409;
constexpr int StatusOtherIncarnation = 421;
constexpr Milliseconds AnnounceInterval{300};
constexpr Milliseconds AnnounceTimeout{1000};
constexpr int LateStartPeriod = 100; ///< In this many starts, a share of lateShare_ is late.

HttpServerOptions serverOptions(const std::string &listenAddress)
{
    HttpServerOptions options;
    options.listenAddress = listenAddress;
    options.headers = {"expect-instance"};
    return options;
}

RunKey parseRunKey(const json &body)
{
    const std::vector<std::string> parts = absl::StrSplit(body.at("task").get<std::string>(), '.');
    RunKey key;
    key.jobId = parts.at(0);
    key.step = std::stoi(parts.at(2));
    key.task = std::stoi(parts.at(3));
    key.attempt = body.at("run");
    return key;
}

std::string taskNameOf(const RunKey &key)
{
    return absl::StrCat(key.jobId, ".0.", key.step, ".", key.task);
}

const char *endKindName(EndKind kind)
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

const char *rejectionReason(Rejection rejection)
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

int64_t toMilliseconds(MonotonicTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

} // namespace

PlatformWorkerStandin::PlatformWorkerStandin(PlatformWorkerOptions options)
    : options_(std::move(options))
    , model_(makeModel())
    , runLog_(options_.runLog, std::ios::app)
    , client_(1)
    , http_(
          serverOptions(options_.listenAddress),
          [this](const HttpRequest &request) { return onRequest(request); },
          [](const HttpRequest &) { return std::nullopt; })
{
}

std::unique_ptr<WorkerModel> PlatformWorkerStandin::makeModel() const
{
    return std::make_unique<WorkerModel>(WorkerIdentity{options_.name, wallMilliseconds()}, 1.0, monotonicNow());
}

void PlatformWorkerStandin::restart()
{
    absl::MutexLock lock(&mutex_);
    model_->crash(monotonicNow());
    writeRunLog();
    isEndLogged_.clear();
    announcementSequence_ = 0;
    model_ = makeModel();
}

bool PlatformWorkerStandin::onRequest(const HttpRequest &request)
{
    try {
        if (request.path == "/faults") {
            setFaults(request);
            return true;
        }
        if (failCall(request)) {
            return true;
        }
        const WorkerCall call = parseCall(request);
        if (const auto *poll = std::get_if<PollRuns>(&call)) {
            {
                absl::MutexLock lock(&mutex_);
                model_->call(call, monotonicNow());
            }
            answerPoll(request.token, *poll, monotonicNow() + poll->wait);
            return true;
        }
        absl::MutexLock lock(&mutex_);
        if (std::holds_alternative<StartRun>(call) && isNextStartLate()) {
            timers_.after(options_.lateStartDelay, [this, call, receiver = model_->identity().startTimeMs] {
                absl::MutexLock lateLock(&mutex_);
                executeLateStart(std::get<StartRun>(call), receiver);
            });
            return true; // The request stays unanswered.
        }
        const WorkerReply reply = model_->call(call, monotonicNow());
        writeRunLog();
        sendReply(request.token, reply);
        if (const auto crashTime = model_->crashTime()) {
            const auto wait = std::chrono::ceil<Milliseconds>(*crashTime - monotonicNow());
            timers_.after(std::max(wait, Milliseconds(1)), [this] { crashIfDue(); });
        }
    } catch (const std::exception &error) {
        http_.reply(HttpResponse{request.token, StatusMalformed, json{{"error", error.what()}}.dump()});
    }
    return true;
}

/** Returns false if calls are answered at present. A call that fails has no effect. */
bool PlatformWorkerStandin::failCall(const HttpRequest &request)
{
    absl::MutexLock lock(&mutex_);
    if (callFault_.empty()) {
        return false;
    }
    int status = StatusOk;
    if (callFault_ == "odd") {
        http_.reply(HttpResponse{request.token, status, "{\"running\": 7, \"finished\""});
    } else if (absl::SimpleAtoi(callFault_, &status)) {
        http_.reply(HttpResponse{request.token, status, "{}"});
    }
    return true;
}

void PlatformWorkerStandin::executeLateStart(const StartRun &call, int64_t receiverStartTimeMs)
{
    const bool isSuccessor = model_->identity().startTimeMs != receiverStartTimeMs;
    if (isSuccessor && options_.dropsLateStartsOnRestart) {
        return;
    }
    const bool isAccepted = model_->call(call, monotonicNow()).outcome == CallOutcome::Accepted;
    writeRunLog();
    // Tells a run that a successor has executed from one that its agent has sent to it.
    if (isAccepted && isSuccessor) {
        std::cerr << "event=late_start_executed_by_successor task=" << taskNameOf(call.key)
                  << " run=" << call.key.attempt << " received_by=" << receiverStartTimeMs
                  << " executed_by=" << model_->identity().startTimeMs << std::endl;
    }
}

bool PlatformWorkerStandin::isNextStartLate()
{
    ++startCount_;
    return startCount_ % LateStartPeriod < lateShare_ * LateStartPeriod
        || (options_.lateEvery > 0 && startCount_ % options_.lateEvery == 0);
}

/** Ends the process, as a task that crashes its worker does. */
void PlatformWorkerStandin::crashIfDue()
{
    absl::MutexLock lock(&mutex_);
    const auto crashTime = model_->crashTime();
    if (!crashTime || *crashTime > monotonicNow()) {
        return;
    }
    model_->crash(monotonicNow());
    writeRunLog();
    std::_Exit(CrashExitCode);
}

void PlatformWorkerStandin::setFaults(const HttpRequest &request)
{
    const json body = json::parse(request.body);
    if (body.value("restart", false)) {
        restart();
    }
    absl::MutexLock lock(&mutex_);
    absentUntil_ = monotonicNow() + Milliseconds(body.value("absent_ms", 0));
    callFault_ = body.value("calls", std::string());
    lateShare_ = body.value("late_share", 0.0);
    model_->failsNewRuns = body.value("fail_all", false);
    model_->hangsNewRuns = body.value("stuck", false);
    http_.reply(HttpResponse{request.token, StatusOk, "{}"});
}

WorkerCall PlatformWorkerStandin::parseCall(const HttpRequest &request) const
{
    const json body = json::parse(request.body);
    const auto header = request.headers.find("expect-instance");
    const WorkerTarget target{"", header == request.headers.end() ? options_.name : header->second};
    const int64_t fence = body.value("fence", int64_t{0});
    if (request.path == "/api/run-start") {
        StartRun start;
        start.target = target;
        start.key = parseRunKey(body);
        start.spec = body.at("spec");
        start.leaseEndMs = body.at("deadline-ms");
        start.fence = fence;
        return start;
    }
    if (request.path == "/api/run-stop") {
        StopRun stop;
        stop.target = target;
        stop.key = parseRunKey(body);
        stop.fence = fence;
        return stop;
    }
    PollRuns poll;
    poll.target = target;
    poll.fence = fence;
    poll.acknowledgedEnd = body.value("observed", int64_t{0});
    poll.wait = Milliseconds(body.value("wait-ms", 0));
    if (body.contains("deadline-ms")) {
        poll.leaseEndMs = body.at("deadline-ms").get<int64_t>();
    }
    return poll;
}

void PlatformWorkerStandin::answerPoll(uint64_t token, const PollRuns &poll, MonotonicTime deadline)
{
    const MonotonicTime now = monotonicNow();
    absl::MutexLock lock(&mutex_);
    model_->advance(now);
    writeRunLog();
    if (model_->hasEndsAfter(poll.acknowledgedEnd) || now >= deadline) {
        PollRuns finalPoll = poll;
        finalPoll.leaseEndMs.reset();
        sendReply(token, model_->call(finalPoll, now));
        return;
    }
    const MonotonicTime nextCheck = std::min(deadline, model_->nextEndTime());
    const auto wait
        = std::chrono::ceil<Milliseconds>(std::min<MonotonicTime::duration>(nextCheck - now, Milliseconds(50)));
    timers_.after(std::max(wait, Milliseconds(1)), [=, this] { answerPoll(token, poll, deadline); });
}

void PlatformWorkerStandin::sendReply(uint64_t token, const WorkerReply &reply)
{
    json body = {{"clock-ms", *reply.clockMs}};
    int status = StatusOk;
    if (reply.outcome == CallOutcome::Rejected) {
        const bool isOtherIncarnation = reply.rejection == Rejection::OtherIncarnation;
        status = isOtherIncarnation ? StatusOtherIncarnation : StatusConflict;
        body["reason"] = rejectionReason(reply.rejection);
    }
    if (reply.listing) {
        body["born"] = reply.listing->startTimeMs;
        body["running"] = json::array();
        body["finished"] = json::array();
        for (const RunKey &key : reply.listing->running) {
            body["running"].push_back({taskNameOf(key), key.attempt, "", 100, 0});
        }
        for (const ListedEnd &end : reply.listing->ended) {
            body["finished"].push_back({end.number, taskNameOf(end.key), end.key.attempt, endKindName(end.kind), ""});
        }
    }
    http_.reply(HttpResponse{token, status, body.dump()});
}

void PlatformWorkerStandin::writeRunLog()
{
    const auto &history = model_->history();
    for (size_t i = 0; i < history.size(); ++i) {
        const RunInterval &run = history[i];
        json line = {{"task", taskNameOf(run.key)},
                     {"run", run.key.attempt},
                     {"worker", options_.name},
                     {"born", model_->identity().startTimeMs},
                     {"from", toMilliseconds(run.from)}};
        if (i == isEndLogged_.size()) {
            isEndLogged_.push_back(false);
            line["cpu_peak"] = model_->peakCpuMillis();
            runLog_ << line.dump() << std::endl;
        }
        if (!isEndLogged_[i] && run.to != MonotonicTime::max()) {
            isEndLogged_[i] = true;
            line["to"] = toMilliseconds(run.to);
            line["done"] = run.hasSucceeded;
            runLog_ << line.dump() << std::endl;
        }
    }
}

void PlatformWorkerStandin::announce()
{
    HttpCall call;
    call.method = "PUT";
    call.url = absl::StrCat("http://", options_.agentAddress, "/api/instances/", options_.name);
    call.timeout = AnnounceTimeout;
    const auto &address = options_.announcedAddress.empty() ? options_.listenAddress : options_.announcedAddress;
    {
        absl::MutexLock lock(&mutex_);
        model_->advance(monotonicNow());
        writeRunLog();
        if (monotonicNow() < absentUntil_) {
            return;
        }
        call.body = json{{"service", options_.service},
                         {"addr", address},
                         {"zone", options_.domain},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"cold-left-ms", 0},
                         {"capacity", {{"cpu", options_.cpuMillis}, {"mem-mb", 131072}, {"gpu", 0}}},
                         {"labels", {"a", "r1"}},
                         {"clock-ms", model_->clockMs(monotonicNow())},
                         {"born", model_->identity().startTimeMs},
                         {"seq", ++announcementSequence_}}
                        .dump();
    }
    client_.call(std::move(call), [](const HttpResult &) {});
}

void PlatformWorkerStandin::waitForNextAnnouncement()
{
    std::this_thread::sleep_for(AnnounceInterval);
}

} // namespace marjoramferry
