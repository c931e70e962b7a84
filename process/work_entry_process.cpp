#include "process/work_entry_process.h"

#include "core/clock.h"
#include "platform/job_api.h"
#include "process/logging.h"
#include "process/metrics_face.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace marjoramferry {

namespace {

constexpr size_t EventRingItems = 1U << 15U;
constexpr long StoreConnections = 4;
constexpr Milliseconds BusyTickPeriod{10};
constexpr Milliseconds IdleTickPeriod{50};
/** Events that come within it are decided together: wake-ups and messages are what a busy entry pays for. */
constexpr Milliseconds GatherPause{1};
/** Another entry serves; a caller that comes back at once reaches it. */
constexpr Milliseconds StoppingRetryAfter{1000};
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

LinkHandlers handlersInto(BoundedQueue<WorkEntryEvent> &events)
{
    LinkHandlers handlers;
    handlers.onLinkMessage = [&](LinkId link, Message message) { events.push(LinkMessage{link, std::move(message)}); };
    handlers.onLinkClosed = [&](LinkId link) { events.push(LinkClosed{link}); };
    handlers.onPeerMessage = [](const std::string &, const Message &) {};
    handlers.onPeerClosed = [](const std::string &) {};
    return handlers;
}

HttpServerOptions callerOptions(const WorkEntrySettings &settings, BoundedQueue<WorkEntryEvent> &events)
{
    HttpServerOptions options;
    options.listenAddress = settings.httpListen;
    options.maxBodyBytes = settings.maxBodyBytes;
    options.headers = platform::jobRequestHeaders();
    options.onAbandoned = [&events](uint64_t token) { events.push(CallAbandoned{token}); };
    return options;
}

HttpServerOptions faceOptions(const std::string &address)
{
    HttpServerOptions options;
    options.listenAddress = address;
    return options;
}

} // namespace

WorkEntryProcess::WorkEntryProcess(const WorkEntrySettings &settings)
    : events_(EventRingItems)
    , core_(settings.options)
    , links_(settings.linkListen, handlersInto(events_))
    , storeHttp_(StoreConnections)
    , store_(storeHttp_, settings.store.address, settings.store.timeout)
    , feed_(store_,
            [this](platform::OperatorFeed::Word word) {
                if (word.problem.empty()) {
                    events_.push(OperatorStatePolled{std::move(word.state)});
                } else {
                    events_.push(StoreReadFailed{std::move(word.problem)});
                }
            })
    , registry_(store_,
                [this](std::vector<std::string> addresses) { events_.push(EntryListRead{std::move(addresses)}); })
    , callers_(
          callerOptions(settings, events_),
          [this](const HttpRequest &request) { return takeCall(request); },
          [](const HttpRequest &) { return std::nullopt; })
    , readiness_(
          faceOptions(settings.readinessListen),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return answerReadiness(request); })
    , metricsFace_(
          faceOptions(settings.metricsListen),
          [](const HttpRequest &) { return false; },
          [this](const HttpRequest &request) { return answerMetrics(request, metrics_, links_.traffic()); })
{
    registry_.registerEntry(settings.options.name, settings.options.linkAddress);
}

bool WorkEntryProcess::takeCall(const HttpRequest &request)
{
    return std::visit(Overloaded{
                          [this](HttpResponse &reply) {
                              callers_.reply(reply);
                              return true;
                          },
                          [this](auto &call) {
                              if (!isOver_) {
                                  return events_.tryPush(std::move(call));
                              }
                              reject(call.address.token);
                              return true;
                          },
                      },
                      *std::make_unique<platform::JobCall>(platform::parseJobCall(request)));
}

HttpResponse WorkEntryProcess::answerReadiness(const HttpRequest &request) const
{
    const bool isFine = platform::isReadinessCheck(request) && isReady_;
    return HttpResponse{request.token, isFine ? StatusOk : StatusUnavailable, "{}"};
}

void WorkEntryProcess::run()
{
    links_.start();
    MonotonicTime nextTick = monotonicNow();
    while (!stopped_) {
        const auto wait = std::chrono::duration_cast<Microseconds>(nextTick - monotonicNow());
        std::vector<WorkEntryEvent> batch = events_.popAll(std::max(wait, Microseconds(0)));
        const MonotonicTime now = monotonicNow();
        if (now >= nextTick) {
            batch.emplace_back(Tick{});
            nextTick = now + (core_.isBusy() ? BusyTickPeriod : IdleTickPeriod);
            feed_.tick(now);
            registry_.tick(now);
        }
        for (const WorkEntryEvent &event : batch) {
            core_.handle(event, monotonicNow());
        }
        for (WorkEntryCommand &command : core_.flush(monotonicNow())) {
            execute(command);
        }
        isReady_ = core_.isReady(now);
        std::this_thread::sleep_for(GatherPause);
    }
    isOver_ = true;
    rejectLeft();
    links_.stop();
}

/** Answers the calls that came in after the last decision. */
void WorkEntryProcess::rejectLeft()
{
    for (WorkEntryEvent &event : events_.popAll(Microseconds(0))) {
        std::visit(Overloaded{
                       [this](const SubmitWork &call) { reject(call.address.token); },
                       [this](const QueryWork &call) { reject(call.address.token); },
                       [this](const CancelWork &call) { reject(call.address.token); },
                       [](const auto &) {},
                   },
                   event);
    }
}

void WorkEntryProcess::reject(uint64_t token)
{
    CallResponse answer;
    answer.token = token;
    answer.status = ResponseStatus::Rejected;
    answer.retryAfter = StoppingRetryAfter;
    answer.errorMessage = "stopping";
    answer.closesConnection = true;
    callers_.reply(platform::toHttpResponse(answer));
}

void WorkEntryProcess::drain()
{
    events_.push(DrainRequested{});
}

void WorkEntryProcess::execute(WorkEntryCommand &command)
{
    std::visit(Overloaded{
                   [&](SendToLink &each) { links_.sendToLink(each.link, std::move(each.message)); },
                   [&](SendToPeer &each) { links_.sendToPeer(std::move(each.address), std::move(each.message)); },
                   [&](const CallResponse &each) { callers_.reply(platform::toHttpResponse(each)); },
                   [&](const LogEvent &each) { writeLog(each); },
                   [&](const Observation &each) { metrics_.observe(each); },
                   [&](const Stop &) { stopped_ = true; },
               },
               command);
}

} // namespace marjoramferry
