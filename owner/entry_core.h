#pragma once

#include "core/error.h"
#include "core/time.h"
#include "event/http_event.h"
#include "event/link_event.h"
#include "event/process_event.h"
#include "owner/agent_directory.h"
#include "owner/agent_registrar.h"
#include "owner/entry_command.h"
#include "owner/job_json.h"
#include "owner/job_owner.h"
#include "owner/job_router.h"
#include "version/cluster_state_tracker.h"
#include "version/note_publisher.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Configuration of an entry. */
struct EntryOptions
{
    std::string name;
    std::string address; ///< Advertised host:port of its Thrift listener.
    std::string incarnation; ///< Unique for every start of the process.
    ClusterStateTiming clusterState;
    OwnerTiming owner;
    RouterTiming router;
    PublisherTiming publisher;
    DirectoryTiming directory;
    JobLimits jobLimits;
    size_t maxWaitingRequests = 2000;
    Milliseconds handoverDelay{1000}; ///< Wait before a new owner receives shards, so that agents can connect.
    Milliseconds inForceMargin{100}; ///< Added to the freshness bound before a change is reported as in force.
    std::string placement = "least-loaded";
    uint64_t seed = 1;
};

struct TableCallCompleted
{
    TableCaller caller = TableCaller::ClusterState;
    int64_t callId = 0;
    TableResult result;
};

using EntryEvent = std::
    variant<Tick, HttpRequest, LinkMessage, LinkClosed, PeerMessage, PeerClosed, TableCallCompleted, DrainRequested>;

/** Monotonic and wall time of an event. */
struct EventTime
{
    MonotonicTime now;
    int64_t wallMs = 0; ///< Unix milliseconds; used only in stored rows.
};

/** The decision logic of an entry, without I/O: maps events with their time to commands. */
class EntryCore
{
public:
    explicit EntryCore(EntryOptions options);

    std::vector<EntryCommand> handle(const EntryEvent &event, EventTime time);

    /** Whether any request or job is active here, so that timeouts need millisecond resolution. */
    bool isBusy() const
    {
        return router_.waiting() > 0 || owner_.activeJobs() > 0;
    }

private:
    /** An operator's request, answered once its note is in force everywhere. */
    struct PendingInForceReply
    {
        uint64_t token = 0;
        int64_t version = 0;
        MonotonicTime inForceAt;
    };

    void onTick(EventTime time);
    void onHttp(const HttpRequest &request, MonotonicTime now);
    bool handleFixedPath(const HttpRequest &request, MonotonicTime now);
    bool handleJobPath(const HttpRequest &request, MonotonicTime now);
    bool handleDomainPath(const HttpRequest &request, MonotonicTime now);
    void onSubmission(const HttpRequest &request, MonotonicTime now);
    void onLinkMessage(const LinkMessage &event, MonotonicTime now);
    void onLinkClosed(LinkId link, MonotonicTime now);
    void onPeerMessage(const PeerMessage &event, MonotonicTime now);
    void onHeartbeat(LinkId link, const wire::Heartbeat &heartbeat, MonotonicTime now);
    void replyToHeartbeat(const AgentView &agent, const wire::Heartbeat &heartbeat, MonotonicTime now);
    void onTableCallCompleted(const TableCallCompleted &event, MonotonicTime now);
    void publish(const HttpRequest &request, ReleaseNote note, bool isDomainChange, MonotonicTime now);
    void replyToPublications();
    void replyToInForceWaiters(MonotonicTime now);
    void onOwnershipChanged(MonotonicTime now);
    void broadcastOwnership();
    void fillOwnership(wire::HeartbeatReply &message) const;
    void handOverShards(MonotonicTime now);
    bool canReceiveShards(const std::string &owner, MonotonicTime now) const;
    void leaveWhenDrained();
    void afterEvent(EventTime time);
    void deliverLocal(const std::vector<LocalRequest> &requests, MonotonicTime now);
    void deliverReplies(MonotonicTime now);
    void rejoinAfterFencing();
    void reply(uint64_t token, int status, const std::string &body, int retryAfterMs = 0);
    void replyError(uint64_t token, const Error &error);
    std::string renderNotes() const;
    std::string renderStatus(MonotonicTime now) const;

    const EntryOptions options_;
    EntryOutbox out_;
    ClusterStateTracker clusterState_;
    NotePublisher publisher_;
    AgentDirectory directory_;
    AgentRegistrar registrar_;
    JobOwner owner_;
    JobRouter router_;
    std::map<int, std::string> handoverTargets_; ///< New owner of each draining shard; empty when there is none.
    std::map<std::string, MonotonicTime> ownersFirstSeen_; ///< By incarnation.
    std::vector<PendingInForceReply> pendingInForceReplies_;
    int64_t lastOwnershipVersion_ = 0;
    int64_t lastFenceVersion_ = 0;
    int rejoinCount_ = 0;
    MonotonicTime nextHousekeeping_;
    bool draining_ = false;
};

} // namespace marjoramferry
