#pragma once

#include "core/time.h"
#include "event/link_event.h"
#include "request/agent_fences.h"
#include "request/demand.h"
#include "request/idle_capacity.h"
#include "request/operator_state_cache.h"
#include "request/overcommit_budget.h"
#include "request/retransmission_queue.h"
#include "request/waiting_work.h"
#include "request/work_command.h"
#include "request/worker_subset.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

struct WorkerDirectoryOptions
{
    Milliseconds heartbeatInterval{150}; ///< Maximum interval between messages to each agent.
    Milliseconds suspectTimeout{450}; ///< No task is sent to an agent that has been silent for so long.
    /** After this silence no run of this entry can be left on the worker; see sessionTimeoutFor(). */
    Milliseconds sessionTimeout{1850};
    WorkerSubsetOptions subset;
    Milliseconds standbyInterval{4000}; ///< Interval between messages to an agent on standby.
    /** Minimum interval between messages to an agent on standby that only report new entries. */
    Milliseconds standbyUpdateInterval{500};
    Milliseconds linkTimeout{9000}; ///< The link of an agent that is silent for so long is closed.
    /** A worker outside of the subset returns to standby this long after its last run. */
    Milliseconds activationTime{2000};
    /** Minimum interval between two activations of workers outside of the subset, and their number each time. */
    Milliseconds activationInterval{20};
    size_t activationBatch = 4;
    bool offers = false; ///< Reports waiting work to agents.
};

/** Free capacity of a worker counts as idle after this time without a run that took some of it. */
inline constexpr Milliseconds WorkerIdleTime{100};

/** Last known state of a worker and its agent, and the session with the agent. */
struct WorkerView
{
    std::string agent;
    std::string incarnation; ///< Of the agent.
    std::vector<std::string> previousIncarnations; ///< Messages from them may still be in flight.
    AgentFences fences;
    LinkId link = LocalLink;
    wire::WorkerState state;
    std::string lastWorker; ///< Kept while the agent has no worker.
    wire::WorkerRoom reported; ///< Free capacity; does not include uncountedDemands.
    bool hasClearedRuns = false; ///< Whether the agent reported that no runs of earlier sessions are left.
    bool isLeaving = false;
    int connectedEntries = 0; ///< Entries that the agent is connected to.
    int64_t session = 0;
    int64_t lastAgentTimeUs = 0; ///< Timestamp of the newest message, by the agent's clock.
    MonotonicTime lastMessageAt;
    MonotonicTime lastSentAt;
    RetransmissionQueue<wire::RunInstruction> instructions;
    DuplicateFilter runEndFilter;
    int64_t lastAcknowledgmentSent = 0;
    /** Demands of ordered runs that `reported` does not include yet, by the number of the unacknowledged instruction.
     */
    std::vector<std::pair<int64_t, Demand>> uncountedDemands;
    Demand available; ///< Free capacity: the reported one less uncountedDemands.
    IdleCapacity idle{WorkerIdleTime}; ///< Of the processor capacity in `available`.
    int64_t operatorPosition = 0; ///< Of the operator state that the agent has.
    int64_t operatorPositionSent = 0; ///< Of the newest operator state sent over this link.
    bool wantsOperatorState = false; ///< The agent has asked for the operator state.
    size_t entriesSent = 0; ///< Number of entry addresses sent over this link.
    double affinity = 0; ///< Preference of this entry for the worker, from 0 to 1: a hash of both names.
    double subsetWeight = 0; ///< Another such hash, which decides on the membership in the subset.
    std::optional<size_t> subsetRank; ///< Position in the entry's subset; nothing if the worker isn't in it.
    bool isActive = false; ///< Exchanges heartbeats and takes runs; otherwise the agent is on standby.
    std::optional<bool> activeSent; ///< The value of isActive last sent over this link.
    MonotonicTime activeUntil; ///< A worker outside of the subset is active until then.
    MonotonicTime tookRunsAt; ///< When the agent last reported that the worker takes runs.
    std::set<int64_t> overcommittedRuns; ///< Numbers of the open runs that were ordered while the worker was full.
    int openRuns = 0; ///< Runs ordered in this session whose end was not received.
    /** Workers on which runs of earlier incarnations of the agent may be left until the agent has cleared them. */
    std::set<std::string> earlierWorkers;
    MonotonicTime earlierRunsEndAt; ///< None of these runs is left after this.
    bool wasUnusable = false;
    /** Sort key of the most urgent waiting task that the agent knows of; the maximum if it knows of none. */
    MonotonicTime headSortKeySent = MonotonicTime::max();

    /** Whether a run of this entry may be left on the worker, or will be once an instruction arrives. */
    bool mayHaveRuns() const
    {
        return openRuns > 0 || !instructions.isEmpty() || !earlierWorkers.empty();
    }
};

/** Content of an agent's message beyond the state of its worker. */
struct AgentUpdate
{
    std::string agent;
    std::vector<wire::RunEnd> ends; ///< Without those received before.
    std::optional<int64_t> firstLiveSession; ///< No runs of earlier sessions are left.
    std::optional<wire::OperatorState> operatorState;
    std::vector<wire::WorkerCrash> crashes; ///< Possibly reported before.
    std::string replacedWorker; ///< The worker that the agent had before; empty if it has the same or had none.
};

/** An agent of which, after the time-out of earlier sessions, no run of sessions before firstLiveSession is left. */
struct ExpiredSession
{
    std::string agent;
    int64_t firstLiveSession = 0;
};

/**
 * Tracks all workers known to the entry, and exchanges messages with their agents.
 *
 * Each entry uses a subset of the workers. The agents of the others are on standby: their connection stays open with
 * a message every few seconds, and the entry activates some of them if its subset can't take a task.
 */
class WorkerDirectory
{
public:
    WorkerDirectory(std::string entry, std::string incarnation, WorkerDirectoryOptions options);

    /** Applies a message of an agent; returns nothing if the message is outdated. */
    std::optional<AgentUpdate> handleBatch(LinkId link, const wire::AgentBatch &batch, MonotonicTime now);

    /** Removes the link; the session continues over the next one. */
    void handleLinkClosed(LinkId link);

    /** Selects the subset anew, and puts agents that are no longer needed on standby. */
    void updateActivity(const OperatorStateCache &operatorState, MonotonicTime now);

    /** Activates a few workers on standby among those that @p isSuitable accepts. */
    void activateStandby(const std::function<bool(const WorkerView &)> &isSuitable, MonotonicTime now);

    /**
     * Begins a new session with each agent with runs that was silent for too long. Returns these agents, and those for
     * whose earlier incarnation, from which runs were left, that time has passed.
     */
    std::vector<ExpiredSession> expireSilentSessions(MonotonicTime now);

    void orderRun(WorkerView &view, const wire::RunOrder &order, MonotonicTime now);
    void withdrawRun(const std::string &agent, int64_t session, int64_t runNumber);

    /** Adds the address of an entry, which is sent to each agent once per connection. */
    void addEntry(const std::string &address);

    const std::vector<std::string> &entries() const
    {
        return entries_;
    }

    /** Whether any agent is connected. */
    bool hasLinks() const
    {
        return !agents_.empty();
    }

    /** Clears the list of the tasks that are reported to agents as waiting, and returns it to be filled. */
    WaitingWork &renewWaitingWork()
    {
        waiting_.clear();
        return waiting_;
    }

    /** Sends a message to each agent for which one is due. */
    void
    sendBatches(const OperatorStateCache &operatorState, bool wantsOperatorState, bool isLeaving, MonotonicTime now);

    /** Whether tasks may be sent to the worker. */
    bool isUsable(const WorkerView &view, MonotonicTime now) const;

    /** The workers that tasks may be sent to, and those whose runs have not ended. */
    const std::vector<WorkerView *> &activeViews() const
    {
        return activeViews_;
    }

    const std::map<std::string, WorkerView> &views() const
    {
        return views_;
    }

    /** Of orders to workers without free capacity. */
    const OvercommitBudget &overcommitBudget() const
    {
        return overcommitBudget_;
    }

    std::vector<WorkCommand> takeCommands()
    {
        return out_.take();
    }

private:
    void recordFence(WorkerView &view, const wire::AgentBatch &batch);
    bool mayBeSuccessor(const WorkerView &view, const wire::AgentBatch &batch, MonotonicTime now) const;
    void beginSession(WorkerView &view);
    void updateAvailable(WorkerView &view, MonotonicTime now);
    void recordOvercommittedEnds(WorkerView &view, const std::vector<wire::RunEnd> &ends);
    void closeSilentLinks(MonotonicTime now);
    void selectSubsets(const OperatorStateCache &operatorState, MonotonicTime now);
    bool isEligible(const WorkerView &view, const OperatorStateCache &operatorState, MonotonicTime now) const;
    bool canActivateMore() const;
    void activate(WorkerView &view);
    bool isActiveBatchDue(const WorkerView &view, const OperatorStateCache &operatorState, MonotonicTime now) const;
    bool isStandbyBatchDue(const WorkerView &view, MonotonicTime now) const;
    WorkerView *findOutdatedAgent(MonotonicTime now);
    bool isOperatorStateDue(const WorkerView &view, const OperatorStateCache &operatorState) const;
    bool isAskedForOperatorState(const WorkerView &view, MonotonicTime now) const;
    void sendBatch(WorkerView &view,
                   const OperatorStateCache &operatorState,
                   bool wantsOperatorState,
                   bool isLeaving,
                   MonotonicTime now);

    const std::string entry_;
    const std::string incarnation_;
    const WorkerDirectoryOptions options_;
    std::map<std::string, WorkerView> views_; ///< By agent.
    std::map<LinkId, std::string> agents_; ///< By their current link.
    std::vector<WorkerView *> activeViews_;
    bool isSubsetOutdated_ = false;
    MonotonicTime subsetSelectedAt_;
    size_t subsetMembers_ = 0; ///< Of the subsets of all services.
    MonotonicTime activatedAt_;
    int64_t activations_ = 0;
    MonotonicTime standbyCheckedAt_;
    int64_t lastSession_ = 0;
    std::vector<std::string> entries_; ///< Addresses of entries, in the order in which they were added.
    OvercommitBudget overcommitBudget_;
    WaitingWork waiting_;
    MonotonicTime waitingCheckedAt_; ///< When an agent that knows of less urgent waiting work was last looked for.
    WorkOutbox out_;
};

} // namespace marjoramferry
