#include "request/work_entry.h"

#include "request/worker_lease.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace marjoramferry {

namespace {

/** Intervals between announcements of this entry to the others; the first one while no agent is connected. */
constexpr Milliseconds FirstAnnouncementInterval{1000};
constexpr Milliseconds MaxAnnouncementInterval{15'000};
constexpr Milliseconds DefaultRetryAfter{1000};
/** A stopping entry accepts a job only if the time left is this multiple of the expected run time, plus a margin. */
constexpr int DrainSafetyFactor = 2;
constexpr Milliseconds DrainMargin{300};
/**
 * Within this time after a suspension, calls that arrived before it have reached the entry's core, and connections from
 * before it are accepted. A processor quota can hold that up for 100 ms.
 */
constexpr Milliseconds ResumedIntakeTime{200};
/** A peer's TCP waits this much longer than the suspension for its first retransmission after it, at most. */
constexpr Milliseconds RetransmissionMargin{200};

/** Job IDs are part of task names, and are kept after the end of a job. */
constexpr size_t MaxJobIdBytes = 64;

bool isJobId(const std::string &text)
{
    const auto isAllowed = [](unsigned char each) { return absl::ascii_isalnum(each) || each == '-' || each == '_'; };
    return !text.empty() && text.size() <= MaxJobIdBytes && std::ranges::all_of(text, isAllowed);
}

} // namespace

WorkEntry::WorkEntry(WorkEntryOptions options)
    : options_(std::move(options))
    , directory_(options_.name, options_.incarnation, options_.directory)
    , scheduler_(options_.scheduler, directory_)
    , announcements_(FirstAnnouncementInterval, MaxAnnouncementInterval, retrySeed(options_.incarnation))
{
    directory_.addEntry(options_.linkAddress);
}

void WorkEntry::handle(const WorkEntryEvent &event, MonotonicTime now)
{
    std::visit(Overloaded{
                   [&](const Tick &) { onTick(now); },
                   [&](const MachineResumed &each) { onResume(each.suspended, now); },
                   [&](const SubmitWork &each) { onSubmit(each, now); },
                   [&](const QueryWork &each) { onQuery(each); },
                   [&](const CancelWork &each) { onCancel(each, now); },
                   [&](const ExplainPlacement &each) { onExplain(each, now); },
                   [&](const CallAbandoned &each) { scheduler_.abandonCall(each.token, now); },
                   [&](const LinkMessage &each) { onLinkMessage(each, now); },
                   [&](const LinkClosed &each) { directory_.handleLinkClosed(each.link); },
                   [&](const OperatorStatePolled &each) {
                       lastStoreReadAt_ = now;
                       if (each.state) {
                           updateOperatorState(*each.state, "store");
                       }
                   },
                   [&](const EntryListRead &each) {
                       lastStoreReadAt_ = now;
                       addEntries(each.addresses);
                   },
                   [&](const StoreReadFailed &each) {
                       log(LogEvent::Level::Warning, "store_read_failed", {{"reason", each.errorMessage}});
                   },
                   [&](const DrainRequested &) { onDrain(now); },
               },
               event);
}

std::vector<WorkEntryCommand> WorkEntry::flush(MonotonicTime now)
{
    scheduler_.schedule(operatorState_, now);
    directory_.sendBatches(operatorState_, isStoreStale(now), drainingSince_.has_value(), now);
    const auto append = [this](std::vector<WorkCommand> commands) {
        for (WorkCommand &command : commands) {
            std::visit([this](auto &each) { out_.emplace_back(std::move(each)); }, command);
        }
    };
    append(scheduler_.takeCommands());
    append(directory_.takeCommands());
    for (CallResponse &each : scheduler_.takeResponses()) {
        each.closesConnection = drainingSince_.has_value() || hasJustResumed(now);
        out_.emplace_back(std::move(each));
    }
    return std::exchange(out_, {});
}

std::optional<WorkEntry::Destination> WorkEntry::resolveDestination(const CallAddress &address)
{
    if (!operatorState_.hasConfiguration()) {
        respond(address, ResponseStatus::NotReady, "this entry has no configuration yet; retry later");
        return std::nullopt;
    }
    const wire::Route *route = operatorState_.findRoute(address.host, address.path);
    if (route == nullptr) {
        respond(address, ResponseStatus::UnknownQueue, "no queue matches this host and path");
        return std::nullopt;
    }
    return Destination{route, address.path.substr(route->pathPrefix.size())};
}

void WorkEntry::onSubmit(const SubmitWork &call, MonotonicTime now)
{
    const auto destination = resolveDestination(call.address);
    if (!destination) {
        return;
    }
    if (!isJobId(destination->jobId)) {
        respond(call.address,
                ResponseStatus::Malformed,
                absl::StrCat("the path has no job ID of 1 to ",
                             MaxJobIdBytes,
                             " letters, digits, '-' and '_' after the queue's prefix"));
        return;
    }
    if (!call.job.unsupportedFeature.empty()) {
        respond(call.address, ResponseStatus::Unsupported, call.job.unsupportedFeature);
        return;
    }
    const std::string &jobId = destination->jobId;
    if (mayPredateSuspension(call.address, now)) {
        constexpr bool ClosesConnection = true; // So that the next call comes over a new one.
        const ResponseStatus status
            = scheduler_.hasJob(jobId) ? ResponseStatus::Interrupted : scheduler_.refusalStatus(jobId, now);
        respond(call.address, status, "machine_suspended", ClosesConnection);
        return;
    }
    if (drainingSince_ && !scheduler_.hasJob(jobId) && !canFinishBeforeShutdown(call.job, *destination->route, now)) {
        respond(call.address, scheduler_.refusalStatus(jobId, now), "stopping");
        return;
    }
    scheduler_.submit(call, *destination->route, destination->jobId, now);
}

/** Whether the job is expected to complete before a stopping entry ends. */
bool WorkEntry::canFinishBeforeShutdown(const WorkJob &job, const wire::Route &route, MonotonicTime now) const
{
    return now + scheduler_.expectedJobRunTime(job, route) * DrainSafetyFactor + DrainMargin
        < *drainingSince_ + options_.shutdownTimeout;
}

void WorkEntry::onQuery(const QueryWork &call)
{
    const auto destination = resolveDestination(call.address);
    if (!destination) {
        return;
    }
    if (!destination->jobId.empty()) {
        const bool isActive = scheduler_.hasJob(destination->jobId);
        respond(call.address, isActive ? ResponseStatus::Active : ResponseStatus::UnknownJob, "");
        return;
    }
    CallResponse response;
    response.token = call.address.token;
    response.status = ResponseStatus::Pending;
    response.pendingJobs = scheduler_.countPendingJobs(destination->route->name);
    out_.emplace_back(std::move(response));
}

void WorkEntry::onCancel(const CancelWork &call, MonotonicTime now)
{
    const auto destination = resolveDestination(call.address);
    if (!destination) {
        return;
    }
    const bool wasCancelled = scheduler_.cancel(destination->jobId, now);
    respond(call.address, wasCancelled ? ResponseStatus::Cancelled : ResponseStatus::UnknownJob, "");
}

void WorkEntry::onExplain(const ExplainPlacement &call, MonotonicTime now)
{
    const auto &routes = operatorState_.state().routes;
    const auto route = std::ranges::find(routes, call.query.queue, &wire::Route::name);
    if (route == routes.end()) {
        out_.emplace_back(PlacementExplained{call.token, std::nullopt});
        return;
    }
    WorkStep step;
    step.count = call.query.tasks;
    step.demand = call.query.demand;
    step.estimate = call.query.estimate;
    SubmitWork submission;
    submission.timeout = call.query.timeout;
    submission.job.steps = {std::move(step)};
    PlacementExplanation explanation = scheduler_.explain(submission, *route, operatorState_, now);
    explanation.queue = route->name;
    explanation.service = route->serviceName;
    explanation.priority = route->priority;
    if (drainingSince_ && !canFinishBeforeShutdown(submission.job, *route, now)) {
        explanation.rejection = "stopping";
    }
    out_.emplace_back(PlacementExplained{call.token, std::move(explanation)});
}

void WorkEntry::respond(const CallAddress &address,
                        ResponseStatus status,
                        const std::string &reason,
                        bool closesConnection)
{
    CallResponse response;
    response.token = address.token;
    response.status = status;
    response.errorMessage = reason;
    response.closesConnection = closesConnection || drainingSince_.has_value();
    response.retryAfter = DefaultRetryAfter;
    log(LogEvent::Level::Info,
        "call_answered",
        {{"request", address.requestId},
         {"path", address.path},
         {"answer", responseStatusName(status)},
         {"reason", reason},
         {"version", absl::StrCat(operatorState_.state().configurationVersion)}});
    out_.emplace_back(std::move(response));
}

void WorkEntry::onLinkMessage(const LinkMessage &event, MonotonicTime now)
{
    if (const auto *other = std::get_if<wire::EntryBatch>(&event.message)) {
        addEntries(other->entries);
        return;
    }
    const auto *batch = std::get_if<wire::AgentBatch>(&event.message);
    if (batch == nullptr) {
        return;
    }
    const auto update = directory_.handleBatch(event.link, *batch, now);
    if (!update) {
        return;
    }
    for (const wire::WorkerCrash &crash : update->crashes) {
        scheduler_.handleWorkerCrash(update->agent, crash, now);
    }
    for (const wire::RunEnd &end : update->ends) {
        scheduler_.handleRunEnd(update->agent, end, now);
    }
    if (update->firstLiveSession) {
        scheduler_.handleLostRuns(update->agent, *update->firstLiveSession, now);
    }
    if (!update->replacedWorker.empty()) {
        scheduler_.removeWorker(update->replacedWorker);
    }
    if (update->operatorState) {
        updateOperatorState(*update->operatorState, update->agent);
    }
}

void WorkEntry::addEntries(const std::vector<std::string> &addresses)
{
    std::ranges::for_each(addresses, [this](const std::string &address) { directory_.addEntry(address); });
}

void WorkEntry::updateOperatorState(const wire::OperatorState &state, const std::string &source)
{
    if (operatorState_.updateIfNewer(state)) {
        log(LogEvent::Level::Info,
            "operator_state_updated",
            {{"source", source},
             {"position", absl::StrCat(state.position)},
             {"version", absl::StrCat(state.configurationVersion)},
             {"routes", absl::StrCat(state.routes.size())},
             {"evacuated", absl::StrCat(state.evacuatedDomains.size())}});
    }
}

void WorkEntry::onTick(MonotonicTime now)
{
    directory_.updateActivity(operatorState_, now);
    for (const ExpiredSession &each : directory_.expireSilentSessions(now)) {
        scheduler_.handleLostRuns(each.agent, each.firstLiveSession, now);
    }
    announce(now);
    if (lastStoreReadAt_ == MonotonicTime()) {
        lastStoreReadAt_ = now; // The wait for the first read starts with the first tick.
    }
    if (isStoreStale(now) != wasStoreStale_) {
        wasStoreStale_ = !wasStoreStale_;
        log(LogEvent::Level::Warning,
            wasStoreStale_ ? "store_reads_stalled" : "store_reads_resumed",
            {{"since_last_read_ms", absl::StrCat(millisecondsBetween(lastStoreReadAt_, now))},
             {"position", absl::StrCat(operatorState_.state().position)}});
    }
    if (!drainingSince_ || isStopSent_) {
        return;
    }
    const auto elapsed = now - *drainingSince_;
    if (elapsed > options_.shutdownTimeout) {
        scheduler_.interruptAllJobs("stopping", now);
    }
    if (scheduler_.isEmpty() && elapsed > options_.minDrainTime) {
        isStopSent_ = true;
        out_.emplace_back(Stop{});
    }
}

/**
 * Announces this entry to the other entries, which name it to their agents. It can't be seen whether one of them has
 * heard of it, so this goes on with growing intervals. Seeds may be down for good, so all known entries are told.
 */
void WorkEntry::announce(MonotonicTime now)
{
    if (now < nextAnnouncementAt_) {
        return;
    }
    if (!directory_.hasLinks()) {
        announcements_.reset();
    }
    nextAnnouncementAt_ = now + announcements_.nextDelay();
    wire::EntryBatch batch;
    batch.entry = options_.name;
    batch.incarnation = options_.incarnation;
    batch.entries = {options_.linkAddress};
    std::set<std::string> receivers(options_.seedAddresses.begin(), options_.seedAddresses.end());
    receivers.insert(directory_.entries().begin(), directory_.entries().end());
    receivers.erase(options_.linkAddress);
    for (const std::string &receiver : receivers) {
        out_.emplace_back(ResetPeer{receiver}); // The open connection may be dead.
        out_.emplace_back(SendToPeer{receiver, batch});
    }
}

void WorkEntry::onDrain(MonotonicTime now)
{
    if (!drainingSince_) {
        drainingSince_ = now;
        log(LogEvent::Level::Info, "draining", {});
    }
}

/**
 * Ends all jobs after a suspension that callers may have left in: the ends of their connections arrive with a
 * retransmission, up to as late again as the suspension was long, and until then they can't be told from the others.
 */
void WorkEntry::onResume(Milliseconds suspended, MonotonicTime now)
{
    log(LogEvent::Level::Warning, "machine_resumed", {{"suspended_ms", absl::StrCat(suspended.count())}});
    if (suspended <= CallerEndMargin) {
        return;
    }
    resumedAt_ = now;
    // A retransmission that falls into another suspension is repeated after that.
    retransmittedUntil_ = std::max(retransmittedUntil_, now) + suspended + RetransmissionMargin;
    scheduler_.interruptAllJobs("machine_suspended", now);
}

bool WorkEntry::hasJustResumed(MonotonicTime now) const
{
    return resumedAt_ && now - *resumedAt_ <= ResumedIntakeTime;
}

/**
 * Whether the caller may have sent the call before the machine resumed, and may have left since. Over a connection that
 * was opened since, it can't have.
 */
bool WorkEntry::mayPredateSuspension(const CallAddress &address, MonotonicTime now) const
{
    if (!resumedAt_) {
        return false;
    }
    return hasJustResumed(now) || (address.connectedAt < *resumedAt_ && now <= retransmittedUntil_);
}

bool WorkEntry::isReady(MonotonicTime now) const
{
    if (drainingSince_ || !operatorState_.hasConfiguration()) {
        return false;
    }
    return std::ranges::any_of(directory_.activeViews(),
                               [&](const WorkerView *each) { return directory_.isUsable(*each, now); });
}

bool WorkEntry::isStoreStale(MonotonicTime now) const
{
    return now - lastStoreReadAt_ > options_.storeStaleAfter;
}

void WorkEntry::log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields)
{
    out_.emplace_back(LogEvent{level, event, std::move(fields)});
}

} // namespace marjoramferry
