#include "process/work_agent_process.h"

#include "core/clock.h"
#include "platform/worker_notification.h"
#include "process/logging.h"
#include "process/metrics_face.h"

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventRingItems = 1U << 14U;
constexpr Milliseconds TickPeriod{20};
constexpr size_t MaxAnnouncementBytes = 4U << 20U;

LinkHandlers handlersInto(BoundedQueue<WorkAgentEvent> &events)
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

HttpServerOptions faceOptions(const std::string &address)
{
    HttpServerOptions options;
    options.listenAddress = address;
    options.maxBodyBytes = MaxAnnouncementBytes;
    return options;
}

} // namespace

WorkAgentProcess::WorkAgentProcess(const WorkAgentSettings &settings)
    : events_(EventRingItems)
    , core_(settings.options)
    , links_(std::string(), handlersInto(events_))
    , workerHttp_(settings.workerConnections)
    , worker_(workerHttp_)
    , store_(workerHttp_, settings.store.address, settings.store.timeout)
    , feed_(store_,
            [this](platform::OperatorFeed::Word word) {
                if (word.state) {
                    events_.push(OperatorStateRead{std::move(*word.state)});
                }
            })
    , registry_(store_, [this](std::vector<std::string> addresses) { events_.push(EntriesRead{std::move(addresses)}); })
    , workerFace_(
          faceOptions(settings.httpListen),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return takeWord(request); })
    , metricsFace_(
          faceOptions(settings.metricsListen),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return answerMetrics(request, metrics_, links_.traffic()); })
{
}

HttpResponse WorkAgentProcess::takeWord(const HttpRequest &request)
{
    platform::WorkerNotification word = platform::parseWorkerNotification(request);
    return std::visit(Overloaded{
                          [&](HttpResponse &reply) {
                              writeLog(LogEvent{LogEvent::Level::Warning,
                                                "announcement_refused",
                                                {{"path", request.path}, {"answer", reply.body}}});
                              return reply;
                          },
                          [&](auto &each) {
                              events_.push(std::move(each));
                              return platform::acknowledge(request);
                          },
                      },
                      word);
}

void WorkAgentProcess::run()
{
    links_.start();
    MonotonicTime nextTick = monotonicNow();
    while (!stopped_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - monotonicNow());
        std::vector<WorkAgentEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        const MonotonicTime now = monotonicNow();
        if (now >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = now + TickPeriod;
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
                   [&](SendToPeer &each) { links_.sendToPeer(std::move(each.address), std::move(each.message)); },
                   [&](ResetPeer &each) { links_.resetPeer(std::move(each.address)); },
                   [&](const WorkerCall &each) {
                       worker_.call(each, [this](WorkerReply reply) { events_.push(std::move(reply)); });
                   },
                   [&](const ReadEntries &) { registry_.read(); },
                   [&](const ReadOperatorState &) { feed_.readOnce(); },
                   [&](const LogEvent &each) { writeLog(each); },
                   [&](const Observation &each) { metrics_.observe(each); },
                   [&](const Stop &) { stopped_ = true; },
               },
               command);
}

} // namespace marjoramferry
