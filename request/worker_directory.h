#pragma once

#include "core/time.h"
#include "request/demand.h"
#include "request/entry_command.h"
#include "request/operator_state_cache.h"
#include "request/retransmission_queue.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct DirectoryTimes
{
    Milliseconds heartbeatInterval{150}; ///< Each agent hears from this entry at least so often.
    Milliseconds suspectTimeout{450}; ///< No task goes to an agent that was silent for so long.
    /**
     * After so long a silence nothing that this entry asked for can be on the worker: the agent stops it
     * within its entry lapse (700 ms), or, should it have died or stalled, the worker's lease runs out
     * after that (1,000 ms at most by the platform, on a clock that may be 2% slow), and a stop takes 50 ms.
     */
    Milliseconds sessionTimeout{1850};
};

/** A worker and its agent, as this entry sees them. */
struct WorkerView
{
    std::string agent;
    std::string incarnation; ///< Of the agent.
    std::vector<std::string> formerIncarnations; ///< Their words may still be under way.
    LinkId link = LocalLink;
    wire::WorkerState state;
    wire::WorkerRoom reported; ///< Does not count the orders that are unseen.
    bool isCleared = false;
    bool isLeaving = false;
    int64_t session = 0;
    int64_t heardUs = 0; ///< The agent's clock in its newest message.
    MonotonicTime heardAt;
    MonotonicTime sentAt;
    RetransmissionQueue<wire::RunInstruction> instructions;
    DuplicateFilter ends;
    int64_t acknowledgedToAgent = 0;
    std::vector<std::pair<int64_t, Demand>> unseen; ///< Demands of the orders that the state does not count yet.
    Demand room; ///< As reported, less what is unseen.
    int64_t operatorPosition = 0;
    int64_t operatorSent = 0;
    size_t entriesSent = 0; ///< Over this link, of the entries known.
    double affinity = 0; ///< How much this entry likes the worker, from 0 to 1: a hash of both names.
    bool isGivenUp = true; ///< Nothing of this entry's can be there.
    bool wasSuspect = false;
};

/** What an entry hears from an agent beyond the state of its worker. */
struct AgentNews
{
    std::string agent;
    std::vector<wire::RunEnd> ends; ///< Not heard before.
    std::optional<int64_t> clearedBelow; ///< Runs of sessions below this one are gone.
    std::optional<wire::OperatorState> operatorState;
};

/** An agent that was silent for too long: its runs in sessions below the one named are gone. */
struct AgentGivenUp
{
    std::string agent;
    int64_t clearedBelow = 0;
};

/** The entry's view of all workers, and its conversation with their agents. */
class WorkerDirectory
{
public:
    WorkerDirectory(std::string entry, std::string incarnation, DirectoryTimes times);

    /** Takes a message in; nothing comes back for one that is of no use any more. */
    std::optional<AgentNews> take(LinkId link, const wire::AgentBatch &batch, MonotonicTime now);

    /** Forgets the link; the conversation goes on over the next one. */
    void close(LinkId link);

    /** Finds agents that were silent for too long, and begins a new session with them. */
    std::vector<AgentGivenUp> giveUpSilent(MonotonicTime now);

    void order(WorkerView &view, const wire::RunOrder &order);
    void withdraw(const std::string &agent, int64_t session, int64_t runNumber);

    /** Tells agents of another entry, each of them once over each connection. */
    void addEntry(const std::string &address);

    /** Sends what is due to each agent. */
    void send(const OperatorStateCache &operators, bool wantsOperatorState, bool isLeaving, MonotonicTime now);

    bool isUsable(const WorkerView &view, MonotonicTime now) const;

    std::map<std::string, WorkerView> &views()
    {
        return views_;
    }

    const std::map<std::string, WorkerView> &views() const
    {
        return views_;
    }

    std::vector<EntryCommand> take()
    {
        return out_.take();
    }

private:
    void beginSession(WorkerView &view);
    void updateRoom(WorkerView &view);
    void sendTo(WorkerView &view,
                const OperatorStateCache &operators,
                bool wantsOperatorState,
                bool isLeaving,
                MonotonicTime now);

    const std::string entry_;
    const std::string incarnation_;
    const DirectoryTimes times_;
    std::map<std::string, WorkerView> views_; ///< By agent.
    std::map<LinkId, std::string> agents_; ///< By their present link.
    int64_t lastSession_ = 0;
    std::vector<std::string> entries_; ///< Addresses, in the order in which they became known.
    EntryOutbox out_;
};

} // namespace marjoramferry
