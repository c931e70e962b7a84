#pragma once

#include "core/time.h"
#include "request/agent_directory.h"
#include "request/agent_registrar.h"
#include "request/entry_command.h"
#include "request/job_json.h"
#include "request/job_owner.h"
#include "request/job_router.h"
#include "version/cluster_state_tracker.h"
#include "version/note_publisher.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Everything that an entry decides by. */
struct EntryOptions
{
    std::string name;
    std::string address; ///< host:port of its Thrift listener, as others reach it.
    std::string incarnation; ///< New with every start of the process.
    ClusterStateTiming keeper;
    OwnerTiming owner;
    RouterTiming router;
    PublisherTiming publisher;
    DirectoryTiming directory;
    JobLimits jobLimits;
    size_t maxWaitingRequests = 2000;
    Milliseconds settling{1000}; ///< A new owner gets shards handed over when it has had time to meet the agents.
    Milliseconds inForceMargin{100}; ///< Added to the freshness bound before a change is called in force.
    std::string placement = "least-loaded";
    uint64_t seed = 1;
};

struct HttpRequest
{
    uint64_t token = 0;
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers; ///< Those that the server was asked to keep, by their lower-case names.
    std::map<std::string, std::string> query; ///< If the server was asked to keep it.
};

struct LinkMessage
{
    LinkId link = LocalLink;
    Message message;
};

struct LinkClosed
{
    LinkId link = LocalLink;
};

struct TableCallCompleted
{
    TableCaller caller = TableCaller::Versions;
    int64_t callId = 0;
    TableResult result;
};

using EntryEvent = std::
    variant<Tick, HttpRequest, LinkMessage, LinkClosed, PeerMessage, PeerClosed, TableCallCompleted, DrainRequested>;

/** The time of an event. */
struct EventTime
{
    MonotonicTime now;
    int64_t wallMs = 0; ///< Unix milliseconds; only for what is kept in rows.
};

/** The decisions of an entry. Pure: what happens and when comes in, what to do comes out. */
class EntryCore
{
public:
    explicit EntryCore(EntryOptions options);

    std::vector<EntryCommand> handle(const EntryEvent &event, EventTime time);

    /** Whether any job waits or runs here, so that time matters to the millisecond. */
    bool isBusy() const
    {
        return router_.waiting() > 0 || owner_.activeJobs() > 0;
    }

private:
    /** A call of an operator that is answered when its note is in force everywhere. */
    struct InForceWait
    {
        uint64_t token = 0;
        int64_t version = 0;
        MonotonicTime inForceAt;
    };

    void onTick(EventTime time);
    void onHttp(const HttpRequest &request, MonotonicTime now);
    bool onFixedPath(const HttpRequest &request, MonotonicTime now);
    bool onJobPath(const HttpRequest &request, MonotonicTime now);
    bool onDomainPath(const HttpRequest &request, MonotonicTime now);
    void onSubmission(const HttpRequest &request, MonotonicTime now);
    void onLinkMessage(const LinkMessage &event, MonotonicTime now);
    void onLinkClosed(LinkId link, MonotonicTime now);
    void onPeerMessage(const PeerMessage &event, MonotonicTime now);
    void onHeartbeat(LinkId link, const wire::Heartbeat &heartbeat, MonotonicTime now);
    void replyToHeartbeat(const AgentView &agent, const wire::Heartbeat &heartbeat, MonotonicTime now);
    void onTableDone(const TableCallCompleted &event, MonotonicTime now);
    void publish(const HttpRequest &request, ReleaseNote note, bool isDomainChange, MonotonicTime now);
    void answerPublications();
    void answerInForce(MonotonicTime now);
    void onOwnershipNews(MonotonicTime now);
    void tellAgentsOfOwners();
    void fillOwnership(wire::HeartbeatReply &message) const;
    void handOverShards(MonotonicTime now);
    bool isSettled(const std::string &owner, MonotonicTime now) const;
    void leaveWhenDrained();
    void afterEvent(EventTime time);
    void deliverLocal(const std::vector<LocalRequest> &requests, MonotonicTime now);
    void deliverReplies(MonotonicTime now);
    void rejoinAfterDeposition();
    void reply(uint64_t token, int status, const std::string &body, int retryAfterMs = 0);
    void replyError(uint64_t token, const Error &error);
    std::string renderNotes() const;
    std::string renderStatus(MonotonicTime now) const;

    const EntryOptions options_;
    EntryOutbox out_;
    ClusterStateTracker keeper_;
    NotePublisher publisher_;
    AgentDirectory directory_;
    AgentRegistrar registrar_;
    JobOwner owner_;
    JobRouter router_;
    std::map<int, std::string> handOver_; ///< Heirs of the shards that refuse new jobs.
    std::map<std::string, MonotonicTime> ownersSince_; ///< When this entry first saw each owner.
    std::vector<InForceWait> inForceWaits_;
    int64_t seenOwnership_ = 0;
    int64_t seenFence_ = 0;
    int incarnations_ = 0;
    MonotonicTime nextHousekeeping_;
    bool draining_ = false;
};

} // namespace marjoramferry
