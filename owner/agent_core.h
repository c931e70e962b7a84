#pragma once

#include "core/time.h"
#include "event/link_event.h"
#include "event/log_event.h"
#include "event/process_event.h"
#include "owner/start_registry.h"
#include "version/catalog.h"
#include "version/freshness.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Identity of an agent, read from its settings. */
struct AgentIdentity
{
    std::string name;
    std::string incarnation; ///< Unique to each start of the process.
    std::string domain;
    std::vector<std::string> entries; ///< host:port of the seed entries to contact first.
};

struct AgentTiming
{
    Milliseconds heartbeatInterval{2000}; ///< Longest time between two messages to the same owner.
    Milliseconds evidenceRefreshAge{600}; ///< Age of the evidence at which new evidence is requested.
    Milliseconds evidenceRetryInterval{200}; ///< Time between evidence requests; each goes to another entry.
    Milliseconds drainAckTimeout{3000}; ///< How long a drained agent waits for all owners to acknowledge.
    Milliseconds minFreedSlotInterval{5}; ///< Minimum time from the last message to an owner to a freed-slot one.
    Milliseconds maxEvidenceAge{2000}; ///< Starts are refused when the evidence is at least this old.
    Milliseconds announcementTimeout{3000}; ///< An endpoint without an announcement for longer than this is removed.
};

/** The state that an endpoint reports in its periodic announcement. */
struct EndpointAnnouncement
{
    std::string name;
    std::string service;
    std::string address; ///< host:port of its HTTP server.
    int slots = 1;
    wire::Needs capacity;
    bool leaving = false;

    bool operator==(const EndpointAnnouncement &) const = default;
};

/** Outcome of a call to the endpoint. REFUSED means that the request never reached it. */
struct EndpointResult
{
    TaskKey key;
    wire::StartState::type state = wire::StartState::UNCERTAIN;
    std::string output;
    int runMs = 0;
};

using AgentEvent = std::variant<Tick, PeerMessage, PeerClosed, EndpointAnnouncement, EndpointResult, DrainRequested>;

/** Calls the endpoint with a task. The call must be dropped if it can't be sent by notAfter. */
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

using AgentCommand = std::variant<SendToPeer, CallEndpoint, LogEvent, Observation, Stop>;

/**
 * Decision logic of an agent, without I/O or clock access: takes events with the current time and
 * returns the commands to execute.
 */
class AgentCore
{
public:
    AgentCore(AgentIdentity identity, AgentTiming timing, StartRecordLimits limits);

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
        return starts_.size();
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
    void onDrainRequested(MonotonicTime now);

    void startTask(const std::string &from, const wire::StartTasks &message, const wire::Task &task, MonotonicTime now);
    wire::RefusalKind::type refusalFor(const wire::StartTasks &message, MonotonicTime now) const;
    /** State of the exchange with one peer. */
    struct PeerState
    {
        int64_t startsSeen = 0; ///< Starts received from it.
        int64_t infoVersionSent = 0; ///< Version of the AgentInfo last sent; 0 before the first.
        int freeSlotsSent = 0;
        bool hasAckedDrain = false; ///< It acknowledged the drain: it has all reports and sends no more starts.
        std::optional<MonotonicTime> lastSentAt;
    };

    void sendDueHeartbeats(MonotonicTime now);
    void sendToAll(MonotonicTime now);
    void sendHeartbeat(const std::string &address, bool wantsReply, MonotonicTime now);
    void requestEvidence(const std::vector<std::string> &addresses, MonotonicTime now);
    void announceFreedSlots(MonotonicTime now);
    void onEvidence(const wire::Evidence &evidence, MonotonicTime now);
    void markInfoChanged();
    wire::AgentInfo makeInfo() const;
    void sendReport(const std::string &to,
                    const TaskKey &key,
                    const StartStatus &state,
                    wire::RefusalKind::type refusal,
                    MonotonicTime now);
    void stopIfFinished(MonotonicTime now);
    std::vector<std::string> peerAddresses(MonotonicTime now) const;
    int freeSlots() const;
    bool isLeaving() const;

    const AgentIdentity identity_;
    const AgentTiming timing_;
    StartRegistry starts_;
    Freshness freshness_;
    Catalog catalog_;
    std::optional<EndpointAnnouncement> endpoint_;
    MonotonicTime lastAnnouncementAt_;
    std::map<std::string, PeerState> peerStates_; ///< By address.
    int64_t infoVersion_ = 1;
    std::map<int, std::string> reportAddresses_; ///< By shard: address of the owner that receives its reports.
    std::map<TaskKey, RunningTask> running_;
    int64_t registration_ = 0;
    int64_t ownershipVersion_ = 0;
    std::vector<std::string> owners_; ///< Addresses.
    std::optional<MonotonicTime> evidenceRequestedAt_; ///< Last request outside the regular heartbeats.
    size_t nextEvidencePeer_ = 0;
    bool draining_ = false;
    std::optional<MonotonicTime> finishedAt_; ///< Set once the agent is draining and runs no task.
    std::vector<AgentCommand> out_;
};

} // namespace marjoramferry
