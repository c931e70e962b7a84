#include "process/work_entry_process.h"

#include "core/clock.h"
#include "core/retry_schedule.h"
#include "platform/job_api.h"
#include "process/explain_api.h"
#include "process/logging.h"
#include "process/metrics_handler.h"
#include "process/request_admission.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventQueueCapacity = 1U << 15U;
constexpr long StoreConnections = 4;
constexpr size_t MaxOperatorBodyBytes = size_t{64} << 10U; ///< Of checks and metrics, which need no body.
constexpr Milliseconds BusyTickPeriod{10};
constexpr Milliseconds IdleTickPeriod{50};
/** Pause between batches, so that more events share one: a busy entry spends most on wake-ups and messages. */
constexpr Milliseconds BatchDelay{1};
/** Sent to callers of a stopping entry; a retry reaches another entry. */
constexpr Milliseconds StoppingRetryAfter{1000};
/** Shorter differences of the clocks are the time between their readings. */
constexpr Milliseconds MinSuspension{50};
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

LinkHandlers makeLinkHandlers(BoundedQueue<WorkEntryEvent> &events)
{
    LinkHandlers handlers;
    handlers.onLinkMessage = [&](LinkId link, Message message) { events.push(LinkMessage{link, std::move(message)}); };
    handlers.onLinkClosed = [&](LinkId link) { events.push(LinkClosed{link}); };
    handlers.onPeerMessage = [](const std::string &, const Message &) {};
    handlers.onPeerClosed = [](const std::string &) {};
    return handlers;
}

HttpServerOptions makeJobServerOptions(const WorkEntrySettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.httpListen;
    options.maxBodyBytes = settings.maxBodyBytes;
    options.clients = settings.clients.calls;
    options.headers = platform::jobRequestHeaders();
    options.watchesDisconnects = true;
    return options;
}

HttpServerOptions makeReadinessServerOptions(const WorkEntrySettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.readinessListen;
    options.maxBodyBytes = MaxOperatorBodyBytes;
    options.clients = settings.clients.readiness;
    return options;
}

HttpServerOptions makeMetricsServerOptions(const WorkEntrySettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.metricsListen;
    options.maxBodyBytes = MaxOperatorBodyBytes;
    options.clients = settings.clients.metrics;
    options.includeQuery = true;
    return options;
}

} // namespace

WorkEntryProcess::WorkEntryProcess(const WorkEntrySettings &settings)
    : events_(EventQueueCapacity)
    , core_(settings.options)
    , links_(settings.linkListen,
             makeLinkHandlers(events_),
             LinkLimits{settings.clients.links, settings.clients.unsentLinkBytes})
    , storeHttpClient_(StoreConnections)
    , storeClient_(storeHttpClient_, settings.store.address, settings.store.timeout)
    , operatorFeed_(storeClient_,
                    retrySeed(settings.options.incarnation),
                    [this](platform::OperatorFeed::Update update) {
                        if (update.errorMessage.empty()) {
                            events_.push(OperatorStatePolled{std::move(update.state)});
                        } else {
                            events_.push(StoreReadFailed{std::move(update.errorMessage)});
                        }
                    })
    , entryRegistry_(storeClient_,
                     retrySeed(settings.options.incarnation),
                     [this](std::vector<std::string> addresses) { events_.push(EntryListRead{std::move(addresses)}); })
    , jobServer_(
          makeJobServerOptions(settings),
          [this](const HttpRequest &request) { return handleJobRequest(request); },
          [](const HttpRequest &) { return std::nullopt; })
    , readinessServer_(
          makeReadinessServerOptions(settings),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return handleReadinessRequest(request); })
    , metricsServer_(
          makeMetricsServerOptions(settings),
          [this](const HttpRequest &request) { return handleExplainRequest(request); },
          [this](const HttpRequest &request) {
              return isExplainRequest(request)
                  ? std::nullopt
                  : std::optional(handleMetricsRequest(request, metrics_, links_.traffic(), reportListeners()));
          })
{
    entryRegistry_.registerEntry(settings.options.name, settings.options.linkAddress);
}

bool WorkEntryProcess::handleJobRequest(const HttpRequest &request)
{
    if (const auto refusal = reserveParsingMemory(jobServer_, request)) {
        jobServer_.reply(*refusal);
        return true;
    }
    const auto call = std::make_unique<platform::JobCall>(platform::parseJobCall(request));
    const auto *submission = std::get_if<SubmitWork>(call.get());
    const size_t bytes = submission != nullptr ? estimateMemoryBytes(submission->job) : 0;
    if (const auto refusal = reserveMemory(jobServer_, request, bytes)) {
        jobServer_.reply(*refusal);
        return true;
    }
    return std::visit(Overloaded{
                          [this](HttpResponse &reply) {
                              jobServer_.reply(reply);
                              return true;
                          },
                          [this](auto &each) {
                              if (!isFinished_) {
                                  return events_.tryPush(std::move(each));
                              }
                              rejectCall(each.address.token);
                              return true;
                          },
                      },
                      *call);
}

std::vector<ListenerReport> WorkEntryProcess::reportListeners() const
{
    return {{"calls", jobServer_.usage()},
            {"readiness", readinessServer_.usage()},
            {"metrics", metricsServer_.usage()},
            {"links", links_.usage()}};
}

bool WorkEntryProcess::handleExplainRequest(const HttpRequest &request)
{
    auto call = parseExplainRequest(request);
    if (auto *query = std::get_if<ExplainPlacement>(&call)) {
        return !isFinished_ && events_.tryPush(std::move(*query));
    }
    metricsServer_.reply(std::get<HttpResponse>(call));
    return true;
}

HttpResponse WorkEntryProcess::handleReadinessRequest(const HttpRequest &request) const
{
    const bool isReady = platform::isReadinessCheck(request) && isReady_;
    return HttpResponse{request.token, isReady ? StatusOk : StatusUnavailable, "{}"};
}

WorkEntryProcess::~WorkEntryProcess()
{
    // The callbacks of the calls that end here use other members, and must find space in the queue.
    events_.popAll(Microseconds(0));
    storeHttpClient_.stop();
}

void WorkEntryProcess::run()
{
    links_.start();
    MonotonicTime nextTick = monotonicNow();
    while (!isStopRequested_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - monotonicNow());
        std::vector<WorkEntryEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        const MonotonicTime now = monotonicNow();
        if (now >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = now + (core_.isBusy() ? BusyTickPeriod : IdleTickPeriod);
            operatorFeed_.tick(now);
            entryRegistry_.tick(now);
            jobServer_.closeExpired(now);
            readinessServer_.closeExpired(now);
            metricsServer_.closeExpired(now);
        }
        if (const Milliseconds suspended = measureSuspension(); suspended >= MinSuspension) {
            batch.emplace_back(MachineResumed{suspended});
        }
        handlePass(batch);
        for (WorkEntryCommand &command : core_.flush(monotonicNow())) {
            execute(command);
        }
        isReady_ = core_.isReady(now);
        std::this_thread::sleep_for(BatchDelay);
    }
    isFinished_ = true;
    rejectRemaining();
    links_.stop();
}

/** For how long the machine was suspended since the last measurement. A pause between the readings is no suspension. */
Milliseconds WorkEntryProcess::measureSuspension()
{
    const MonotonicTime before = monotonicNowWithoutSuspension();
    const MonotonicTime withSuspension = monotonicNow();
    const MonotonicTime withoutSuspension = monotonicNowWithoutSuspension();
    const bool wasHeldUp = withoutSuspension - before >= MinSuspension;
    return wasHeldUp ? Milliseconds(0) : suspensions_.measure(withSuspension, withoutSuspension);
}

/**
 * Handles events, without those of callers that have disconnected. The connections are checked after the events were
 * taken from the queue and before tasks are dispatched: a process that wakes has events of callers that left while it
 * stood still, and these have sent their job to another entry since.
 */
void WorkEntryProcess::handlePass(const std::vector<WorkEntryEvent> &events)
{
    const std::vector<uint64_t> disconnected = jobServer_.takeDisconnected();
    std::ranges::for_each(disconnected, [this](uint64_t token) { endCall(token); });
    for (const WorkEntryEvent &event : events) {
        const auto *submission = std::get_if<SubmitWork>(&event);
        if (submission != nullptr && !jobServer_.isPending(submission->address.token)) {
            writeLog(LogEvent{LogEvent::Level::Info,
                              "call_dropped",
                              {{"request", submission->address.requestId},
                               {"path", submission->address.path},
                               {"reason", "caller_gone"}}});
            metrics_.observe(Observation{"calls_dropped", "", "caller_gone", 0});
            continue;
        }
        core_.handle(event, monotonicNow());
    }
    for (const uint64_t token : disconnected) {
        core_.handle(CallAbandoned{token}, monotonicNow());
    }
}

/** Closes the connection of a caller that has disconnected. One that only closed its sending side gets the answer. */
void WorkEntryProcess::endCall(uint64_t token)
{
    CallResponse response;
    response.token = token;
    response.status = ResponseStatus::Interrupted;
    response.errorMessage = "the connection was closed before the answer";
    response.closesConnection = true;
    jobServer_.reply(platform::toHttpResponse(response));
}

/** Rejects the calls that arrived after the core stopped. */
void WorkEntryProcess::rejectRemaining()
{
    for (WorkEntryEvent &event : events_.popAll(Microseconds(0))) {
        std::visit(Overloaded{
                       [this](const SubmitWork &call) { rejectCall(call.address.token); },
                       [this](const QueryWork &call) { rejectCall(call.address.token); },
                       [this](const CancelWork &call) { rejectCall(call.address.token); },
                       [](const auto &) {},
                   },
                   event);
    }
}

void WorkEntryProcess::rejectCall(uint64_t token)
{
    CallResponse response;
    response.token = token;
    response.status = ResponseStatus::Rejected;
    response.retryAfter = StoppingRetryAfter;
    response.errorMessage = "stopping";
    response.closesConnection = true;
    jobServer_.reply(platform::toHttpResponse(response));
}

void WorkEntryProcess::drain()
{
    events_.push(DrainRequested{});
}

void WorkEntryProcess::execute(WorkEntryCommand &command)
{
    std::visit(Overloaded{
                   [&](SendToLink &send) { links_.sendToLink(send.link, std::move(send.message)); },
                   [&](const CloseLink &close) { links_.closeLink(close.link); },
                   [&](SendToPeer &send) { links_.sendToPeer(std::move(send.address), std::move(send.message)); },
                   [&](ResetPeer &reset) { links_.resetPeer(std::move(reset.address)); },
                   [&](const CallResponse &response) { jobServer_.reply(platform::toHttpResponse(response)); },
                   [&](const PlacementExplained &answer) { metricsServer_.reply(toHttpResponse(answer)); },
                   [&](const LogEvent &event) { writeLog(event); },
                   [&](const Observation &observation) { metrics_.observe(observation); },
                   [&](const Stop &) { isStopRequested_ = true; },
               },
               command);
}

} // namespace marjoramferry
