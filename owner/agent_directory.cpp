#include "owner/agent_directory.h"

#include <algorithm>
#include <ranges>

namespace marjoramferry {

namespace {

constexpr int FailuresToProbation = 5;
constexpr int MaxBackoffDoublings = 10;

bool isLoadRefusal(wire::RefusalKind::type kind)
{
    return kind == wire::RefusalKind::NO_SLOT || kind == wire::RefusalKind::LATE;
}

} // namespace

bool AgentView::isOnProbation() const
{
    return consecutiveFailures >= FailuresToProbation;
}

bool AgentView::fits(const wire::Needs &needs) const
{
    return needs.cpus <= capacity.cpus && needs.memoryMb <= capacity.memoryMb
        && needs.accelerators <= capacity.accelerators;
}

AgentDirectory::AgentDirectory(DirectoryTiming timing)
    : timing_(timing)
{
}

std::optional<AgentView> AgentDirectory::update(LinkId link, const wire::Heartbeat &heartbeat, MonotonicTime now)
{
    std::optional<AgentView> replaced;
    auto found = agents_.find(heartbeat.agent);
    const bool isKnown = found != agents_.end();
    const bool isOther = isKnown
        && (found->second.link != link
            || (heartbeat.__isset.info && found->second.incarnation != heartbeat.info.incarnation));
    if (!heartbeat.__isset.info && (!isKnown || isOther)) {
        return std::nullopt;
    }
    if (isOther) {
        replaced = found->second;
        namesByLink_.erase(found->second.link);
        agents_.erase(found);
    }
    AgentView &view = agents_[heartbeat.agent];
    if (heartbeat.__isset.info) {
        view.name = heartbeat.agent;
        view.link = link;
        namesByLink_[link] = heartbeat.agent;
        updateInfo(view, heartbeat.info);
    }
    view.noteVersion = heartbeat.noteVersion;
    view.leaving = heartbeat.leaving;
    view.reportedFreeSlots = heartbeat.freeSlots;
    view.startsSeen = heartbeat.startsSeen;
    updateLastMessage(view, heartbeat.sentAtUs, now);
    return replaced;
}

void AgentDirectory::updateInfo(AgentView &view, const wire::AgentInfo &info)
{
    view.incarnation = info.incarnation;
    view.registration = info.registration;
    view.endpoint = info.endpoint;
    view.service = info.serviceName;
    view.domain = info.domain;
    view.slots = info.slots;
    view.capacity = info.capacity;
}

void AgentDirectory::updateLastMessage(AgentView &view, int64_t sentAtUs, MonotonicTime now)
{
    view.lastMessageAt = now;
    view.lastReceivedAt = now;
    view.lastSentAtUs = sentAtUs;
}

void AgentDirectory::recordReport(const wire::TaskReport &report, MonotonicTime now)
{
    const auto found = agents_.find(report.agent);
    if (found == agents_.end()) {
        return;
    }
    AgentView &view = found->second;
    view.reportedFreeSlots = report.freeSlots;
    view.startsSeen = report.startsSeen;
    updateLastMessage(view, report.sentAtUs, now);
    recordOutcome(view, report, now);
}

void AgentDirectory::recordOutcome(AgentView &view, const wire::TaskReport &report, MonotonicTime now) const
{
    if (report.state == wire::StartState::SUCCEEDED) {
        view.consecutiveFailures = 0;
        return;
    }
    if (report.state == wire::StartState::REFUSED) {
        if (!isLoadRefusal(report.refusal)) {
            view.blockedUntil = std::max(view.blockedUntil, now + timing_.refusalBackoff);
        }
        return;
    }
    if (report.state == wire::StartState::RUNNING) {
        return;
    }
    ++view.consecutiveFailures;
    if (view.isOnProbation()) {
        const int doublings = std::min(view.consecutiveFailures - FailuresToProbation, MaxBackoffDoublings);
        const Milliseconds backoff = timing_.initialProbationBackoff * (1 << doublings);
        view.blockedUntil = now + std::min(backoff, timing_.maxProbationBackoff);
    }
}

void AgentDirectory::recordStartsSent(const std::string &agent, int count)
{
    if (const auto found = agents_.find(agent); found != agents_.end()) {
        found->second.startsSent += count;
    }
}

std::optional<AgentView> AgentDirectory::removeLink(LinkId link)
{
    const auto found = namesByLink_.find(link);
    if (found == namesByLink_.end()) {
        return std::nullopt;
    }
    const auto agent = agents_.find(found->second);
    namesByLink_.erase(found);
    if (agent == agents_.end()) {
        return std::nullopt;
    }
    AgentView view = std::move(agent->second);
    agents_.erase(agent);
    return view;
}

std::vector<AgentView> AgentDirectory::removeTimedOut(MonotonicTime now)
{
    std::vector<LinkId> timedOut;
    for (const AgentView &view : agents_ | std::views::values) {
        if (now - view.lastMessageAt > timing_.agentTimeout) {
            timedOut.push_back(view.link);
        }
    }
    std::vector<AgentView> removed;
    for (const LinkId link : timedOut) {
        if (auto view = removeLink(link)) {
            removed.push_back(std::move(*view));
        }
    }
    return removed;
}

const AgentView *AgentDirectory::find(const std::string &agent) const
{
    const auto found = agents_.find(agent);
    return found == agents_.end() ? nullptr : &found->second;
}

std::vector<const AgentView *>
AgentDirectory::availableAgents(const std::string &service, const Catalog &catalog, MonotonicTime now) const
{
    std::vector<const AgentView *> result;
    for (const AgentView &view : agents_ | std::views::values) {
        const bool isCandidate = view.registration != 0 && !view.leaving && view.service == service
            && view.blockedUntil <= now && view.freeSlots() > 0;
        const bool hasProbeInFlight = view.isOnProbation() && view.freeSlots() < view.slots;
        if (isCandidate && !hasProbeInFlight && catalog.isStartAllowed(service, view.endpoint, view.domain)) {
            result.push_back(&view);
        }
    }
    return result;
}

bool AgentDirectory::hasAgentFitting(const std::string &service, const wire::Needs &needs) const
{
    return std::ranges::any_of(agents_ | std::views::values,
                               [&](const AgentView &view) { return view.service == service && view.fits(needs); });
}

int AgentDirectory::usableSlots(const std::string &service, const Catalog &catalog) const
{
    int slots = 0;
    for (const AgentView &view : agents_ | std::views::values) {
        if (view.service == service && !view.leaving && catalog.isStartAllowed(service, view.endpoint, view.domain)) {
            slots += view.slots;
        }
    }
    return slots;
}

} // namespace marjoramferry
