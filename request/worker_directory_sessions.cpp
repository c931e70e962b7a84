#include "request/worker_directory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

/** The part of WorkerDirectory that decides which incarnation and session of an agent count. */
namespace marjoramferry {

/** Records the fence of a message, also if it is outdated otherwise: the calls under that fence may be late as well. */
void WorkerDirectory::recordFence(WorkerView &view, const wire::AgentBatch &batch)
{
    if (view.fences.record(batch.incarnation, batch.fence) == FenceVerdict::Refused) {
        out_.log(LogEvent::Level::Warning,
                 "fence_refused",
                 {{"agent", batch.agent}, {"incarnation", batch.incarnation}, {"fence", absl::StrCat(batch.fence)}});
    }
}

/**
 * Whether a message may be of the successor of the agent's known incarnation. Incarnations have no order, and messages
 * of one that has ended may be under way for long, so the known one is not replaced while it is connected and heard of.
 */
bool WorkerDirectory::mayBeSuccessor(const WorkerView &view, const wire::AgentBatch &batch, MonotonicTime now) const
{
    const auto silence = now - view.lastMessageAt;
    if (view.link != LocalLink && silence <= options_.suspectTimeout) {
        return false;
    }
    const bool isPrevious
        = std::ranges::find(view.previousIncarnations, batch.incarnation) != view.previousIncarnations.end();
    return !isPrevious || silence > options_.sessionTimeout;
}

void WorkerDirectory::beginSession(WorkerView &view)
{
    view.session = ++lastSession_;
    view.instructions = {};
    view.runEndFilter = {};
    view.lastAcknowledgmentSent = 0;
    view.uncountedDemands.clear();
    view.operatorPositionSent = 0;
    view.openRuns = 0;
    view.overcommittedRuns.clear();
}

std::vector<ExpiredSession> WorkerDirectory::expireSilentSessions(MonotonicTime now)
{
    std::vector<ExpiredSession> expired;
    for (WorkerView *each : activeViews_) {
        WorkerView &view = *each;
        const bool isUnusable = !isUsable(view, now);
        if (isUnusable != view.wasUnusable) {
            view.wasUnusable = isUnusable;
            out_.log(LogEvent::Level::Info,
                     isUnusable ? "agent_became_unusable" : "agent_became_usable",
                     {{"agent", view.agent},
                      {"worker", view.state.worker},
                      {"silent_ms", absl::StrCat(millisecondsBetween(view.lastMessageAt, now))},
                      {"takes_runs", view.reported.takesRuns ? "1" : "0"},
                      {"leaving", view.isLeaving ? "1" : "0"}});
        }
        if (!view.earlierWorkers.empty() && now > view.earlierRunsEndAt) {
            // The agent may never clear them: it may have come back without a worker, or with another one.
            view.earlierWorkers.clear();
            out_.log(LogEvent::Level::Warning,
                     "earlier_agent_session_expired",
                     {{"agent", view.agent}, {"incarnation", view.incarnation}});
            expired.push_back(ExpiredSession{view.agent, view.session});
        }
        if (!view.mayHaveRuns() || now - view.lastMessageAt <= options_.sessionTimeout) {
            continue;
        }
        view.earlierWorkers.clear();
        beginSession(view);
        updateAvailable(view, now);
        out_.log(LogEvent::Level::Warning,
                 "agent_session_expired",
                 {{"agent", view.agent}, {"silent_ms", absl::StrCat(millisecondsBetween(view.lastMessageAt, now))}});
        expired.push_back(ExpiredSession{view.agent, view.session});
    }
    return expired;
}

/**
 * Closes the links of agents that have ended without a sign, as by a loss of power. Their workers would keep their
 * places in the subset. An agent that is there connects again.
 */
void WorkerDirectory::closeSilentLinks(MonotonicTime now)
{
    std::vector<LinkId> silent;
    for (const auto &[link, agent] : agents_) {
        if (now - views_.at(agent).lastMessageAt > options_.linkTimeout) {
            silent.push_back(link);
        }
    }
    for (const LinkId link : silent) {
        out_.add(CloseLink{link});
        handleLinkClosed(link);
    }
}

} // namespace marjoramferry
