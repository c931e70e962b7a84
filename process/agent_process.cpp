#include "process/agent_process.h"

#include "core/clock.h"
#include "core/error.h"
#include "event/error_json.h"
#include "process/logging.h"
#include "process/request_admission.h"
#include "version/json_fields.h"

#include <limits>
#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventQueueCapacity = 1U << 15U;
constexpr Milliseconds TickPeriod{20};
constexpr size_t MaxAnnouncementBytes = 16U << 10U;
constexpr size_t MaxNameBytes = 128;
constexpr int MaxSlots = 100'000;
constexpr int StatusOk = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusNotFound = 404;

LinkHandlers makeLinkHandlers(BoundedQueue<AgentEvent> &events)
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

HttpServerOptions makeHttpOptions(const AgentSettings &settings)
{
    HttpServerOptions options;
    options.listenAddress = settings.httpListen;
    options.maxBodyBytes = MaxAnnouncementBytes;
    options.clients = settings.clients.calls;
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
    constexpr int MaxAmount = std::numeric_limits<int>::max() - 1;
    announcement.capacity.cpus = optionalInteger(capacity, "capacity", "cpus", 0, 0, MaxAmount);
    announcement.capacity.memoryMb = optionalInteger(capacity, "capacity", "memory_mb", 0, 0, MaxAmount);
    announcement.capacity.accelerators = optionalInteger(capacity, "capacity", "accelerators", 0, 0, MaxAmount);
    return announcement;
}

AgentProcess::AgentProcess(const AgentSettings &settings)
    : events_(EventQueueCapacity)
    , core_(settings.identity, settings.timing, settings.startRecordLimits)
    , endpointHttpClient_(settings.endpointConnections)
    , endpointClient_(endpointHttpClient_)
    , links_(std::string(), makeLinkHandlers(events_))
    , httpServer_(
          makeHttpOptions(settings),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return handleRequest(request); })
{
}

AgentProcess::~AgentProcess()
{
    // The callbacks of the calls that end here use other members, and must find space in the queue.
    events_.popAll(Microseconds(0));
    endpointHttpClient_.stop();
}

void AgentProcess::run()
{
    links_.start();
    MonotonicTime nextTick = monotonicNow();
    while (!isStopRequested_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - monotonicNow());
        std::vector<AgentEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        if (monotonicNow() >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = monotonicNow() + TickPeriod;
            httpServer_.closeExpired(monotonicNow());
        }
        for (const AgentEvent &event : batch) {
            for (AgentCommand &command : core_.handle(event, monotonicNow())) {
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
                   [&](SendToPeer &send) { links_.sendToPeer(std::move(send.address), std::move(send.message)); },
                   [&](const CallEndpoint &call) {
                       endpointClient_.call(call, [this](EndpointResult result) { events_.push(std::move(result)); });
                   },
                   [&](const LogEvent &event) { writeLog(event); },
                   [&](const Observation &observation) { metrics_.observe(observation); },
                   [&](const Stop &) { isStopRequested_ = true; },
               },
               command);
}

std::optional<HttpResponse> AgentProcess::handleRequest(const HttpRequest &request)
{
    const std::string requestLine = request.method + " " + request.path;
    if (requestLine == "GET /metrics") {
        const std::string text = metrics_.render(links_.traffic(), {{"calls", httpServer_.usage()}});
        return HttpResponse{request.token, StatusOk, text, 0, "text/plain; version=0.0.4"};
    }
    if (requestLine == "GET /healthz") {
        return HttpResponse{request.token, StatusOk, R"({"status":"up"})"};
    }
    if (auto refusal = reserveParsingMemory(httpServer_, request)) {
        return refusal;
    }
    try {
        if (requestLine != "POST /v1/announce") {
            throw Error(ErrorKind::NotFound, requestLine, "is not a known request", "see docs/OPERATIONS.md");
        }
        events_.push(parseAnnouncement(request.body));
        return HttpResponse{request.token, StatusOk, R"({"status":"taken"})"};
    } catch (const Error &error) {
        const int status = error.kind() == ErrorKind::NotFound ? StatusNotFound : StatusMalformed;
        return HttpResponse{request.token, status, renderError(error)};
    }
}

} // namespace marjoramferry
