#pragma once

#include "core/time.h"
#include "request/log_event.h"
#include "request/message.h"
#include "request/start_registry.h"
#include "version/catalog.h"
#include "version/freshness.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Who an agent is, from its settings. */
struct AgentIdentity
{
    std::string name;
    std::string incarnation; ///< New with every start of the process.
    std::string domain;
    std::vector<std::string> entries; ///< host:port of the entries to announce to first.
};

struct AgentTiming
{
    Milliseconds heartbeatInterval{2000}; ///< Each owner hears of this agent at least so often.
    Milliseconds evidenceRefresh{600}; ///< When evidence is older than this, an entry is asked for more.
    Milliseconds evidenceRetry{200}; ///< Pause before the next entry is asked.
    Milliseconds farewell{3000}; ///< How long a drained agent waits for its owners' word.
    Milliseconds freedPause{5}; ///< Least time between two words of a freed slot to one owner.
    Milliseconds maxEvidenceAge{2000}; ///< No start on evidence older than this.
    Milliseconds announcementTimeout{3000}; ///< An endpoint that has not announced itself for so long is gone.
};

/** What an endpoint says of itself. */
struct EndpointAnnouncement
{
    std::string name;
    std::string service;
    std::string address; ///< host:port of its HTTP face.
    int slots = 1;
    wire::Needs capacity;
    bool leaving = false;

    bool operator==(const EndpointAnnouncement &) const = default;
};

/** How a call to the endpoint ended. REFUSED: it never got there. */
struct EndpointResult
{
    TaskKey key;
    wire::StartState::type state = wire::StartState::UNCERTAIN;
    std::string output;
    int runMs = 0;
};

struct PeerMessage
{
    std::string address;
    Message message;
};

struct PeerClosed
{
    std::string address;
};

struct Tick
{
};

struct DrainRequested
{
};

using AgentEvent = std::variant<Tick, PeerMessage, PeerClosed, EndpointAnnouncement, EndpointResult, DrainRequested>;

struct SendToPeer
{
    std::string address;
    Message message;
};

/** Hand a task to the endpoint, unless it is later than notAfter when the request is about to go out. */
struct CallEndpoint
{
    TaskKey key;
    std::string address;
    std::string tenant;
    std::string service;
    std::string payload;
    MonotonicTime notAfter;
    Milliseconds timeout{0};
};

struct Stop
{
};

using AgentCommand = std::variant<SendToPeer, CallEndpoint, LogEvent, Observation, Stop>;

/** The decisions of an agent. Pure: what happens and when comes in, what to do comes out. */
class AgentCore
{
public:
    AgentCore(AgentIdentity identity, AgentTiming timing, StartRecordLimits memory);

    std::vector<AgentCommand> handle(const AgentEvent &event, MonotonicTime now);

    const Catalog &catalog() const
    {
        return catalog_;
    }

    bool isFresh(MonotonicTime now) const
    {
        return freshness_.isFresh(now);
    }

    size_t recordCount() const
    {
        return gate_.size();
    }

private:
    struct RunningTask
    {
        int shard = 0;
        std::string tenant;
        MonotonicTime startedAt;
    };

    void onTick(MonotonicTime now);
    void onPeerMessage(const PeerMessage &event, MonotonicTime now);
    void onHeartbeatReply(const std::string &from, const wire::HeartbeatReply &reply, MonotonicTime now);
    void onStartTasks(const std::string &from, const wire::StartTasks &message, MonotonicTime now);
    void onResolveTasks(const std::string &from, const wire::ResolveTasks &message, MonotonicTime now);
    void onFence(const std::string &from, const wire::Fence &message);
    void onAnnouncement(const EndpointAnnouncement &announcement, MonotonicTime now);
    void onEndpointResult(const EndpointResult &result, MonotonicTime now);
    void onDrain(MonotonicTime now);

    void startTask(const std::string &from, const wire::StartTasks &message, const wire::Task &task, MonotonicTime now);
    wire::RefusalKind::type refusalFor(const wire::StartTasks &message, MonotonicTime now) const;
    /** What this agent last told a peer, and heard from it. */
    struct PeerState
    {
        int64_t startsSeen = 0;
        int64_t infoSent = 0; ///< The info's version.
        int freeSlotsSent = 0;
        bool knowsFinished = false; ///< It has had all reports, and will send no more starts.
        std::optional<MonotonicTime> lastSentAt;
    };

    void sendDueHeartbeats(MonotonicTime now);
    void sendToAll(MonotonicTime now);
    void sendHeartbeat(const std::string &address, bool wantsReply, MonotonicTime now);
    void askForEvidence(const std::vector<std::string> &peers, MonotonicTime now);
    void tellFreedSlot(MonotonicTime now);
    void onEvidence(const wire::Evidence &evidence, MonotonicTime now);
    void noteInfoChanged();
    wire::AgentInfo makeInfo() const;
    void report(const std::string &to,
                const TaskKey &key,
                const StartKnown &state,
                wire::RefusalKind::type refusal,
                MonotonicTime now);
    void stopIfFinished(MonotonicTime now);
    std::vector<std::string> peers(MonotonicTime now) const;
    int freeSlots() const;
    bool isLeaving() const;

    const AgentIdentity identity_;
    const AgentTiming timing_;
    StartGate gate_;
    Freshness freshness_;
    Catalog catalog_;
    std::optional<EndpointAnnouncement> endpoint_;
    MonotonicTime announcedAt_;
    std::map<std::string, PeerState> peerStates_; ///< By address.
    int64_t infoVersion_ = 1;
    std::map<int, std::string> reporters_; ///< By shard: the peer that gets its reports.
    std::map<TaskKey, RunningTask> running_;
    int64_t registration_ = 0;
    int64_t ownershipVersion_ = 0;
    std::vector<std::string> owners_; ///< Addresses.
    std::optional<MonotonicTime> askedAt_; ///< When evidence was last asked for out of turn.
    size_t nextAsked_ = 0;
    bool draining_ = false;
    std::optional<MonotonicTime> finishedAt_; ///< When the last task of a draining agent was reported.
    std::vector<AgentCommand> out_;
};

} // namespace marjoramferry
