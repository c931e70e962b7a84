#include "request/work_entry.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** Between two introductions of this entry to those it knows from its settings. */
constexpr Milliseconds IntroductionPause{1000};
constexpr Milliseconds NotReadyRetryAfter{1000};
/** A stopping entry takes a job only if there is time for it to run so many times as long as expected. */
constexpr int DrainSafety = 2;
constexpr Milliseconds DrainMargin{300};

} // namespace

WorkEntry::WorkEntry(WorkEntryOptions options)
    : options_(std::move(options))
    , directory_(options_.name, options_.incarnation, options_.directory)
    , desk_(options_.scheduler, directory_)
{
    directory_.addEntry(options_.linkAddress);
}

void WorkEntry::handle(const WorkEntryEvent &event, MonotonicTime now)
{
    std::visit(Overloaded{
                   [&](const Tick &) { onTick(now); },
                   [&](const SubmitWork &each) { onSubmit(each, now); },
                   [&](const QueryWork &each) { onAsk(each); },
                   [&](const CancelWork &each) { onCancel(each, now); },
                   [&](const CallAbandoned &each) { desk_.abandon(each.token, now); },
                   [&](const LinkMessage &each) { onLinkMessage(each, now); },
                   [&](const LinkClosed &each) { directory_.close(each.link); },
                   [&](const OperatorStatePolled &each) {
                       storeHeardAt_ = now;
                       if (each.state) {
                           takeOperatorState(*each.state, "store");
                       }
                   },
                   [&](const EntryListRead &each) {
                       storeHeardAt_ = now;
                       meet(each.addresses);
                   },
                   [&](const StoreReadFailed &each) {
                       log(LogEvent::Level::Warning, "store_silent", {{"reason", each.problem}});
                   },
                   [&](const DrainRequested &) { onDrain(now); },
               },
               event);
}

std::vector<WorkEntryCommand> WorkEntry::flush(MonotonicTime now)
{
    desk_.advance(operators_, now);
    directory_.send(operators_, isStoreDoubtful(now), drainingSince_.has_value(), now);
    const auto take = [this](std::vector<EntryCommand> commands) {
        for (EntryCommand &command : commands) {
            std::visit(Overloaded{
                           [this](SendToLink &each) { out_.emplace_back(std::move(each)); },
                           [this](LogEvent &each) { out_.emplace_back(std::move(each)); },
                           [this](Observation &each) { out_.emplace_back(std::move(each)); },
                           [](auto &) {},
                       },
                       command);
        }
    };
    take(desk_.takeCommands());
    take(directory_.take());
    for (CallResponse &each : desk_.takeAnswers()) {
        each.closesConnection = drainingSince_.has_value();
        out_.emplace_back(std::move(each));
    }
    return std::exchange(out_, {});
}

std::optional<WorkEntry::Destination> WorkEntry::find(const CallAddress &address)
{
    if (!operators_.hasConfiguration()) {
        answer(address, ResponseStatus::NotReady, "no configuration is known here yet");
        return std::nullopt;
    }
    const wire::Route *route = operators_.find(address.host, address.path);
    if (route == nullptr) {
        answer(address, ResponseStatus::UnknownQueue, "no queue has this host and path");
        return std::nullopt;
    }
    return Destination{route, address.path.substr(route->pathPrefix.size())};
}

void WorkEntry::onSubmit(const SubmitWork &call, MonotonicTime now)
{
    const auto destination = find(call.address);
    if (!destination) {
        return;
    }
    if (destination->jobId.empty()) {
        answer(call.address, ResponseStatus::Malformed, "the path names no job");
        return;
    }
    if (!call.job.unsupportedFeature.empty()) {
        answer(call.address, ResponseStatus::Unsupported, call.job.unsupportedFeature);
        return;
    }
    if (drainingSince_ && !canFinish(call.job, *destination->route, now)) {
        answer(call.address, ResponseStatus::Rejected, "stopping");
        return;
    }
    desk_.submit(call, *destination->route, destination->jobId, now);
}

/** Whether a stopping entry has the time to see the job through. */
bool WorkEntry::canFinish(const WorkJob &job, const wire::Route &route, MonotonicTime now) const
{
    return now + desk_.expectedTime(job, route) * DrainSafety + DrainMargin
        < *drainingSince_ + options_.shutdownTimeout;
}

void WorkEntry::onAsk(const QueryWork &call)
{
    const auto destination = find(call.address);
    if (!destination) {
        return;
    }
    if (!destination->jobId.empty()) {
        const bool isKnown = desk_.knows(destination->jobId);
        answer(call.address, isKnown ? ResponseStatus::Active : ResponseStatus::UnknownJob, "");
        return;
    }
    CallResponse count;
    count.token = call.address.token;
    count.status = ResponseStatus::Pending;
    count.pendingJobs = desk_.pending(destination->route->name);
    out_.emplace_back(std::move(count));
}

void WorkEntry::onCancel(const CancelWork &call, MonotonicTime now)
{
    const auto destination = find(call.address);
    if (!destination) {
        return;
    }
    const bool wasKnown = desk_.cancel(destination->jobId, now);
    answer(call.address, wasKnown ? ResponseStatus::Cancelled : ResponseStatus::UnknownJob, "");
}

void WorkEntry::answer(const CallAddress &address, ResponseStatus answer, const std::string &problem)
{
    CallResponse result;
    result.token = address.token;
    result.status = answer;
    result.errorMessage = problem;
    result.closesConnection = drainingSince_.has_value();
    result.retryAfter = NotReadyRetryAfter;
    log(LogEvent::Level::Info,
        "call_answered",
        {{"request", address.requestId},
         {"path", address.path},
         {"answer", answerName(answer)},
         {"reason", problem},
         {"version", absl::StrCat(operators_.state().configurationVersion)}});
    out_.emplace_back(std::move(result));
}

void WorkEntry::onLinkMessage(const LinkMessage &event, MonotonicTime now)
{
    if (const auto *other = std::get_if<wire::EntryBatch>(&event.message)) {
        meet(other->entries);
        return;
    }
    const auto *batch = std::get_if<wire::AgentBatch>(&event.message);
    if (batch == nullptr) {
        return;
    }
    const auto news = directory_.take(event.link, *batch, now);
    if (!news) {
        return;
    }
    for (const wire::RunEnd &end : news->ends) {
        desk_.noteEnd(news->agent, end, now);
    }
    if (news->clearedBelow) {
        desk_.loseRuns(news->agent, *news->clearedBelow, now);
    }
    if (news->operatorState) {
        takeOperatorState(*news->operatorState, news->agent);
    }
}

void WorkEntry::meet(const std::vector<std::string> &addresses)
{
    std::ranges::for_each(addresses, [this](const std::string &address) { directory_.addEntry(address); });
}

void WorkEntry::takeOperatorState(const wire::OperatorState &state, const std::string &from)
{
    if (operators_.updateIfNewer(state)) {
        log(LogEvent::Level::Info,
            "operator_state",
            {{"from", from},
             {"position", absl::StrCat(state.position)},
             {"version", absl::StrCat(state.configurationVersion)},
             {"routes", absl::StrCat(state.routes.size())},
             {"evacuated", absl::StrCat(state.evacuatedDomains.size())}});
    }
}

void WorkEntry::onTick(MonotonicTime now)
{
    for (const AgentGivenUp &each : directory_.giveUpSilent(now)) {
        desk_.loseRuns(each.agent, each.clearedBelow, now);
    }
    introduce(now);
    if (storeHeardAt_ == MonotonicTime()) {
        storeHeardAt_ = now; // The wait for its first word begins now.
    }
    if (isStoreDoubtful(now) != wasStoreDoubtful_) {
        wasStoreDoubtful_ = !wasStoreDoubtful_;
        log(LogEvent::Level::Warning,
            wasStoreDoubtful_ ? "store_lost" : "store_regained",
            {{"heard_ms_ago", absl::StrCat(millisecondsBetween(storeHeardAt_, now))},
             {"position", absl::StrCat(operators_.state().position)}});
    }
    if (!drainingSince_ || stopSent_) {
        return;
    }
    const auto elapsed = now - *drainingSince_;
    if (elapsed > options_.shutdownTimeout) {
        desk_.interruptAll(now);
    }
    if (desk_.isEmpty() && elapsed > options_.minDrainTime) {
        stopSent_ = true;
        out_.emplace_back(Stop{});
    }
}

/** Makes itself known to the entries of its settings while no agent has found it. */
void WorkEntry::introduce(MonotonicTime now)
{
    if (!directory_.views().empty() || now - introducedAt_ < IntroductionPause) {
        return;
    }
    introducedAt_ = now;
    wire::EntryBatch batch;
    batch.entry = options_.name;
    batch.incarnation = options_.incarnation;
    batch.entries = {options_.linkAddress};
    for (const std::string &seed : options_.seedAddresses) {
        if (seed != options_.linkAddress) {
            out_.emplace_back(SendToPeer{seed, batch});
        }
    }
}

void WorkEntry::onDrain(MonotonicTime now)
{
    if (!drainingSince_) {
        drainingSince_ = now;
        log(LogEvent::Level::Info, "draining", {});
    }
}

bool WorkEntry::isReady(MonotonicTime now) const
{
    if (drainingSince_ || !operators_.hasConfiguration()) {
        return false;
    }
    return std::ranges::any_of(directory_.views(),
                               [&](const auto &each) { return directory_.isUsable(each.second, now); });
}

bool WorkEntry::isStoreDoubtful(MonotonicTime now) const
{
    return now - storeHeardAt_ > options_.storeDoubt;
}

void WorkEntry::log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields)
{
    out_.emplace_back(LogEvent{level, event, std::move(fields)});
}

} // namespace marjoramferry
