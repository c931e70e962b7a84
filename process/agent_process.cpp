#include "process/agent_process.h"

#include "core/error.h"
#include "process/logging.h"
#include "request/job_json.h"
#include "version/json_fields.h"

#include <limits>
#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventRingItems = 1U << 15U;
constexpr Milliseconds TickPeriod{20};
constexpr size_t MaxAnnouncementBytes = 16U << 10U;
constexpr size_t MaxNameBytes = 128;
constexpr int MaxSlots = 100'000;
constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusNotFound = 404;

LinkHandlers handlersInto(BoundedQueue<AgentEvent> &events)
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

HttpServerOptions httpOptions(const AgentSettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.httpListen;
    options.maxBodyBytes = MaxAnnouncementBytes;
    return options;
}

} // namespace

EndpointAnnouncement parseAnnouncement(const std::string &body)
{
    const nlohmann::json parsed = parseJson(body, "announcement");
    requireOnlyFields(parsed, "", {"endpoint", "service", "address", "slots", "leaving", "capacity"});
    EndpointAnnouncement announcement;
    announcement.name = requireString(parsed, "", "endpoint", MaxNameBytes);
    announcement.service = requireString(parsed, "", "service", MaxNameBytes);
    announcement.address = requireString(parsed, "", "address", MaxNameBytes);
    announcement.slots = optionalInteger(parsed, "", "slots", 1, 1, MaxSlots);
    announcement.leaving = optionalBool(parsed, "", "leaving", false);
    const nlohmann::json capacity = parsed.value("capacity", nlohmann::json::object());
    requireOnlyFields(capacity, "capacity", {"cpus", "memory_mb", "accelerators"});
    constexpr int Most = std::numeric_limits<int>::max() - 1;
    announcement.capacity.cpus = optionalInteger(capacity, "capacity", "cpus", 0, 0, Most);
    announcement.capacity.memoryMb = optionalInteger(capacity, "capacity", "memory_mb", 0, 0, Most);
    announcement.capacity.accelerators = optionalInteger(capacity, "capacity", "accelerators", 0, 0, Most);
    return announcement;
}

AgentProcess::AgentProcess(const AgentSettings &settings)
    : events_(EventRingItems)
    , core_(settings.identity, settings.timing, settings.memory)
    , endpointHttp_(settings.endpointConnections)
    , endpoint_(endpointHttp_)
    , links_(std::string(), handlersInto(events_))
    , http_(
          httpOptions(settings),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return answer(request); })
{
}

void AgentProcess::run()
{
    links_.start();
    MonotonicTime nextTick = std::chrono::steady_clock::now();
    while (!stopped_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - std::chrono::steady_clock::now());
        std::vector<AgentEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        if (std::chrono::steady_clock::now() >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = std::chrono::steady_clock::now() + TickPeriod;
        }
        for (const AgentEvent &event : batch) {
            for (AgentCommand &command : core_.handle(event, std::chrono::steady_clock::now())) {
                execute(command);
            }
        }
    }
    links_.stop();
}

void AgentProcess::drain()
{
    events_.push(DrainRequested{});
}

void AgentProcess::execute(AgentCommand &command)
{
    std::visit(Overloaded{
                   [&](SendToPeer &each) { links_.sendToPeer(std::move(each.address), std::move(each.message)); },
                   [&](const CallEndpoint &each) {
                       endpoint_.call(each, [this](EndpointResult result) { events_.push(std::move(result)); });
                   },
                   [&](const LogEvent &each) { writeLog(each); },
                   [&](const Observation &each) { metrics_.observe(each); },
                   [&](const Stop &) { stopped_ = true; },
               },
               command);
}

std::optional<HttpResponse> AgentProcess::answer(const HttpRequest &request)
{
    const std::string call = request.method + " " + request.path;
    if (call == "GET /metrics") {
        return HttpResponse{request.token, StatusOk, metrics_.render(links_.traffic()), 0, "text/plain; version=0.0.4"};
    }
    if (call == "GET /healthz") {
        return HttpResponse{request.token, StatusOk, R"({"status":"up"})"};
    }
    try {
        if (call != "POST /v1/announce") {
            throw Error(ErrorKind::NotFound, call, "is no call here", "see docs/OPERATIONS.md");
        }
        events_.push(parseAnnouncement(request.body));
        return HttpResponse{request.token, StatusOk, R"({"status":"taken"})"};
    } catch (const Error &error) {
        const int status = error.kind() == ErrorKind::NotFound ? StatusNotFound : StatusMalformed;
        return HttpResponse{request.token, status, renderError(error)};
    }
}

} // namespace marjoramferry
