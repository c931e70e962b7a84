#include "process/entry_process.h"

#include "process/logging.h"

#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventRingItems = 1U << 16U;
constexpr long TableConnections = 8;
constexpr Milliseconds BusyTickPeriod{5};
constexpr Milliseconds IdleTickPeriod{25};

EventTime currentTime()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return EventTime{std::chrono::steady_clock::now(), std::chrono::duration_cast<Milliseconds>(wall).count()};
}

LinkHandlers handlersInto(BoundedQueue<EntryEvent> &events)
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

HttpServerOptions httpOptions(const EntrySettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.httpListen;
    options.maxBodyBytes = settings.options.jobLimits.maxBodyBytes;
    return options;
}

} // namespace

EntryProcess::EntryProcess(const EntrySettings &settings)
    : events_(EventRingItems)
    , core_(settings.options)
    , tableHttp_(TableConnections)
    , table_(tableHttp_, settings.table.address, settings.table.timeout)
    , links_(settings.linkListen, handlersInto(events_))
    , http_(
          httpOptions(settings),
          [this](HttpRequest request) { return events_.tryPush(std::move(request)); },
          [this](const HttpRequest &request) { return answerDirectly(request); })
{
}

void EntryProcess::run()
{
    links_.start();
    MonotonicTime nextTick = std::chrono::steady_clock::now();
    while (!stopped_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - std::chrono::steady_clock::now());
        std::vector<EntryEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        if (std::chrono::steady_clock::now() >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = std::chrono::steady_clock::now() + (core_.isBusy() ? BusyTickPeriod : IdleTickPeriod);
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
                   [&](SendToLink &each) { links_.sendToLink(each.link, std::move(each.message)); },
                   [&](SendToPeer &each) { links_.sendToPeer(std::move(each.address), std::move(each.message)); },
                   [&](const HttpResponse &each) { http_.reply(each); },
                   [&](const TableCall &each) {
                       table_.call(each.request, [this, user = each.caller, callId = each.callId](TableResult result) {
                           events_.push(TableCallCompleted{user, callId, std::move(result)});
                       });
                   },
                   [&](const LogEvent &each) { writeLog(each); },
                   [&](const Observation &each) { metrics_.observe(each); },
                   [&](const Stop &) { stopped_ = true; },
               },
               command);
}

std::optional<HttpResponse> EntryProcess::answerDirectly(const HttpRequest &request) const
{
    if (request.method != "GET" || request.path != "/metrics") {
        return std::nullopt;
    }
    return HttpResponse{request.token, 200, metrics_.render(links_.traffic()), 0, "text/plain; version=0.0.4"};
}

} // namespace marjoramferry
