#include "process/work_agent_process.h"

#include "core/clock.h"
#include "core/retry_schedule.h"
#include "platform/worker_notification.h"
#include "process/logging.h"
#include "process/metrics_handler.h"
#include "process/request_admission.h"

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventQueueCapacity = 1U << 14U;
constexpr Milliseconds TickPeriod{20};
constexpr size_t MaxAnnouncementBytes = 4U << 20U;
constexpr size_t MaxOperatorBodyBytes = size_t{64} << 10U; ///< Of calls for metrics, which need no body.

LinkHandlers makeLinkHandlers(BoundedQueue<WorkAgentEvent> &events)
{
    LinkHandlers handlers;
    handlers.onLinkMessage = [](LinkId, const Message &) {};
    handlers.onLinkClosed = [](LinkId) {};
    handlers.onPeerMessage = [&](const std::string &address, Message message) {
        events.push(PeerMessage{address, std::move(message)});
    };
    handlers.onPeerClosed = [&](const std::string &address) { events.push(PeerClosed{address}); };
    return handlers;
}

HttpServerOptions makeHttpOptions(const std::string &address, size_t maxBodyBytes, const ListenerLimits &clients)
{
    HttpServerOptions options;
    options.listenAddress = address;
    options.maxBodyBytes = maxBodyBytes;
    options.clients = clients;
    return options;
}

} // namespace

WorkAgentProcess::WorkAgentProcess(const WorkAgentSettings &settings)
    : events_(EventQueueCapacity)
    , core_(settings.options)
    , links_(std::string(), makeLinkHandlers(events_))
    , httpClient_(settings.workerConnections)
    , workerClient_(httpClient_)
    , storeClient_(httpClient_, settings.store.address, settings.store.timeout)
    , operatorFeed_(storeClient_,
                    retrySeed(settings.options.incarnation),
                    [this](platform::OperatorFeed::Update update) {
                        if (update.state) {
                            events_.push(OperatorStateRead{std::move(*update.state)});
                        } else if (!update.errorMessage.empty()) {
                            writeLog(LogEvent{
                                LogEvent::Level::Warning, "operator_read_failed", {{"reason", update.errorMessage}}});
                        }
                    })
    , entryRegistry_(storeClient_,
                     retrySeed(settings.options.incarnation),
                     [this](std::vector<std::string> addresses) { events_.push(EntriesRead{std::move(addresses)}); })
    , workerServer_(
          makeHttpOptions(settings.httpListen, MaxAnnouncementBytes, settings.clients.calls),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return handleWorkerRequest(request); })
    , metricsServer_(
          makeHttpOptions(settings.metricsListen, MaxOperatorBodyBytes, settings.clients.metrics),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) {
              return handleMetricsRequest(request,
                                          metrics_,
                                          links_.traffic(),
                                          {{"calls", workerServer_.usage()}, {"metrics", metricsServer_.usage()}});
          })
{
}

HttpResponse WorkAgentProcess::handleWorkerRequest(const HttpRequest &request)
{
    if (const auto refusal = reserveParsingMemory(workerServer_, request)) {
        return *refusal;
    }
    platform::WorkerNotification parsed = platform::parseWorkerNotification(request);
    return std::visit(Overloaded{
                          [&](HttpResponse &reply) {
                              writeLog(LogEvent{LogEvent::Level::Warning,
                                                "announcement_refused",
                                                {{"path", request.path}, {"answer", reply.body}}});
                              return reply;
                          },
                          [&](auto &event) {
                              events_.push(std::move(event));
                              return platform::acknowledge(request);
                          },
                      },
                      parsed);
}

WorkAgentProcess::~WorkAgentProcess()
{
    // The callbacks of the calls that end here use other members, and must find space in the queue.
    events_.popAll(Microseconds(0));
    httpClient_.stop();
}

void WorkAgentProcess::run()
{
    links_.start();
    MonotonicTime nextTick = monotonicNow();
    while (!isStopRequested_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - monotonicNow());
        std::vector<WorkAgentEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        const MonotonicTime now = monotonicNow();
        if (now >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = now + TickPeriod;
            workerServer_.closeExpired(now);
            metricsServer_.closeExpired(now);
        }
        for (const WorkAgentEvent &event : batch) {
            core_.handle(event, monotonicNow());
        }
        for (WorkAgentCommand &command : core_.flush(monotonicNow())) {
            execute(command);
        }
    }
    links_.stop();
}

void WorkAgentProcess::drain()
{
    events_.push(DrainRequested{});
}

void WorkAgentProcess::execute(WorkAgentCommand &command)
{
    std::visit(Overloaded{
                   [&](SendToPeer &send) { links_.sendToPeer(std::move(send.address), std::move(send.message)); },
                   [&](ResetPeer &reset) { links_.resetPeer(std::move(reset.address)); },
                   [&](const WorkerCall &call) {
                       workerClient_.call(call, [this](WorkerReply reply) { events_.push(std::move(reply)); });
                   },
                   [&](const ReadEntries &) { entryRegistry_.read(); },
                   [&](const ReadOperatorState &) { operatorFeed_.readOnce(); },
                   [&](const LogEvent &event) { writeLog(event); },
                   [&](const Observation &observation) { metrics_.observe(observation); },
                   [&](const Stop &) { isStopRequested_ = true; },
               },
               command);
}

} // namespace marjoramferry
