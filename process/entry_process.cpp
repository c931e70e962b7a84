#include "process/entry_process.h"

#include "core/clock.h"
#include "process/logging.h"
#include "process/request_admission.h"

#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventQueueCapacity = 1U << 16U;
constexpr long TableConnections = 8;
constexpr Milliseconds BusyTickPeriod{5};
constexpr Milliseconds IdleTickPeriod{25};

EventTime currentTime()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return EventTime{monotonicNow(), std::chrono::duration_cast<Milliseconds>(wall).count()};
}

LinkHandlers makeLinkHandlers(BoundedQueue<EntryEvent> &events)
{
    LinkHandlers handlers;
    handlers.onLinkMessage = [&](LinkId link, Message message) { events.push(LinkMessage{link, std::move(message)}); };
    handlers.onLinkClosed = [&](LinkId link) { events.push(LinkClosed{link}); };
    handlers.onPeerMessage = [&](const std::string &address, Message message) {
        events.push(PeerMessage{address, std::move(message)});
    };
    handlers.onPeerClosed = [&](const std::string &address) { events.push(PeerClosed{address}); };
    return handlers;
}

HttpServerOptions makeHttpOptions(const EntrySettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.httpListen;
    options.maxBodyBytes = settings.options.jobLimits.maxBodyBytes;
    options.clients = settings.clients.calls;
    return options;
}

} // namespace

EntryProcess::EntryProcess(const EntrySettings &settings)
    : events_(EventQueueCapacity)
    , core_(settings.options)
    , tableHttpClient_(TableConnections)
    , tableClient_(tableHttpClient_, settings.table.address, settings.table.timeout)
    , links_(settings.linkListen,
             makeLinkHandlers(events_),
             LinkLimits{settings.clients.links, settings.clients.unsentLinkBytes})
    , httpServer_(
          makeHttpOptions(settings),
          [this](HttpRequest request) { return handleRequest(std::move(request)); },
          [this](const HttpRequest &request) { return handleMetricsRequest(request); })
{
}

EntryProcess::~EntryProcess()
{
    // The callbacks of the calls that end here use other members, and must find space in the queue.
    events_.popAll(Microseconds(0));
    tableHttpClient_.stop();
}

void EntryProcess::run()
{
    links_.start();
    MonotonicTime nextTick = monotonicNow();
    while (!isStopRequested_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - monotonicNow());
        std::vector<EntryEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        if (monotonicNow() >= nextTick) {
            batch.emplace_back(Tick{});
            httpServer_.closeExpired(monotonicNow());
            nextTick = monotonicNow() + (core_.isBusy() ? BusyTickPeriod : IdleTickPeriod);
        }
        for (const EntryEvent &event : batch) {
            for (EntryCommand &command : core_.handle(event, currentTime())) {
                execute(command);
            }
        }
    }
    links_.stop();
}

void EntryProcess::drain()
{
    events_.push(DrainRequested{});
}

void EntryProcess::execute(EntryCommand &command)
{
    std::visit(Overloaded{
                   [&](SendToLink &send) { links_.sendToLink(send.link, std::move(send.message)); },
                   [&](SendToPeer &send) { links_.sendToPeer(std::move(send.address), std::move(send.message)); },
                   [&](const HttpResponse &response) { httpServer_.reply(response); },
                   [&](const TableCall &call) {
                       tableClient_.call(call.request,
                                         [this, caller = call.caller, callId = call.callId](TableResult result) {
                                             events_.push(TableCallCompleted{caller, callId, std::move(result)});
                                         });
                   },
                   [&](const LogEvent &event) { writeLog(event); },
                   [&](const Observation &observation) { metrics_.observe(observation); },
                   [&](const Stop &) { isStopRequested_ = true; },
               },
               command);
}

bool EntryProcess::handleRequest(HttpRequest request)
{
    if (const auto refusal = reserveParsingMemory(httpServer_, request)) {
        httpServer_.reply(*refusal);
        return true;
    }
    return events_.tryPush(std::move(request));
}

std::optional<HttpResponse> EntryProcess::handleMetricsRequest(const HttpRequest &request) const
{
    if (request.method != "GET" || request.path != "/metrics") {
        return std::nullopt;
    }
    const std::string text
        = metrics_.render(links_.traffic(), {{"calls", httpServer_.usage()}, {"links", links_.usage()}});
    return HttpResponse{request.token, 200, text, 0, "text/plain; version=0.0.4"};
}

} // namespace marjoramferry
