#pragma once

#include "owner/admission.h"
#include "owner/agent_directory.h"
#include "owner/answer_cache.h"
#include "owner/claim_log.h"
#include "owner/dispatcher.h"
#include "owner/entry_command.h"
#include "owner/job_run.h"
#include "owner/run_time_model.h"
#include "owner/shard_recovery.h"
#include "version/cluster_state_tracker.h"

#include <absl/container/btree_map.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

struct OwnerTiming
{
    ClaimTiming claims;
    Milliseconds deadlineMargin{60}; ///< An unfinished job is failed this long before its deadline.
    Milliseconds resolveTimeout{200}; ///< Maximum wait for agents to report the state of sent tasks.
    Milliseconds recordTimeout{300}; ///< Maximum wait for the commit of a failure record.
    Milliseconds recoveryTimeout{2500}; ///< Maximum wait for agents' start records after a change of owner.
    Milliseconds lostAgentTimeout{3000}; ///< An agent unreachable for longer is declared lost.
    Milliseconds answerRetention{600'000}; ///< Retention time of ended jobs.
    size_t maxAnswerBytes = 8U << 20U; ///< Above this total size, outputs of the oldest answers are evicted.
};

/** A reply and the link to send it on; LocalLink addresses the router in this process. */
struct AddressedReply
{
    LinkId link = LocalLink;
    wire::OwnerReply reply;
};

/**
 * Manages the jobs of the shards that this entry owns: admission, claims, execution and answers.
 *
 * No task is sent before its job's claim is committed. A task is sent to a second agent only after
 * the first agent has confirmed that it has not started the task and never will.
 */
class JobOwner : private QuotaSource
{
public:
    JobOwner(OwnerTiming timing,
             const ClusterStateTracker &clusterState,
             AgentDirectory &directory,
             PlacementPolicy placement);

    /** Applies a changed ownership map: starts recovery of gained shards and drops lost ones. */
    void onOwnershipChanged(MonotonicTime now, EntryOutbox &out);

    void onSubmit(LinkId link, const wire::SubmitJob &message, MonotonicTime now, EntryOutbox &out);
    void onLookup(LinkId link, const wire::LookupJob &message, MonotonicTime now, EntryOutbox &out);
    void onTaskReport(const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out);
    void onStartRecords(const wire::StartRecords &reply);
    void
    onTableResult(TableCaller caller, int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out);

    /** Handles an agent whose link closed or whose heartbeats stopped. */
    void onAgentUnreachable(const AgentView &agent, MonotonicTime now);

    /** Handles an agent that announced itself over a new link. */
    void onAgentReconnected(const AgentView &agent, MonotonicTime now, EntryOutbox &out);

    void onTick(MonotonicTime now, EntryOutbox &out);

    /** Dispatches waiting tasks and writes pending claims. Called after every event. */
    void advance(MonotonicTime now, EntryOutbox &out);

    /** Stops accepting new jobs in the shards, so that they can be handed over once idle. */
    void beginDraining(const std::vector<int> &shards);

    /** The draining shards without active jobs. */
    std::vector<int> idleDrainingShards() const;

    bool ownsAnyShard() const
    {
        return !shards_.empty();
    }

    /** Whether this incarnation lost its fence row since the last call; clears the flag. */
    bool consumeFencedFlag();

    std::vector<AddressedReply> takeReplies();

    /** Number of jobs that have not ended. */
    size_t activeJobs() const
    {
        return active_.size();
    }

    /** Number of shards still collecting the starts made by earlier owners. */
    size_t recoveringShards() const;

private:
    struct ShardState
    {
        int64_t epoch = 0;
        int64_t recoveryId = 0; ///< Request id of the running recovery; zero when there is none.
        std::optional<int64_t> drainingSince; ///< Ownership version at which draining began.
    };

    struct DeferredRequest
    {
        LinkId link = LocalLink;
        wire::SubmitJob message;
        MonotonicTime deadline;
    };

    struct UnreachableAgent
    {
        std::string incarnation;
        MonotonicTime since;
    };

    int runningLimit(const std::string &tenant) const override;
    int ownShareOf(int limit) const;

    void openClaimLog();
    void startRecoveries(const std::vector<int> &gained, MonotonicTime now);
    void finishRecoveries(MonotonicTime now, EntryOutbox &out);
    void dropShard(int shard, EntryOutbox &out);
    void dropAllShards(EntryOutbox &out);

    void submitExisting(const JobRunPtr &run, const wire::SubmitJob &message, const Waiter &waiter);
    void submitNew(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now, EntryOutbox &out);
    /** Returns the rejection of a submission, or nothing if the job is admitted. */
    std::optional<wire::JobAnswer> validateSubmission(const wire::SubmitJob &message, MonotonicTime now);
    JobRunPtr createRun(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now);
    /** Applies the starts made under an earlier owner to a resubmitted job. */
    void adoptStarts(const JobRunPtr &run, const RecoveredJob &recovered, MonotonicTime now, EntryOutbox &out);
    void adoptStart(const JobRunPtr &run, size_t index, const RecoveredStart &start);
    void claim(const JobRun &run, bool ended);
    void onClaimed(const ClaimsCommitted &committed, MonotonicTime now, EntryOutbox &out);

    void beginRunning(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void
    onTaskEnded(const JobRunPtr &run, int index, const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out);
    void onTaskRefused(const JobRunPtr &run, int index);
    void
    declareAgentLost(const std::string &agent, const std::string &incarnation, MonotonicTime now, EntryOutbox &out);
    /** Asks the agents for the state of the job's tasks that are in @p phase. */
    void requestTaskStates(const JobRun &run, TaskPhase phase, MonotonicTime now, EntryOutbox &out);
    void sendResolveTasks(const AgentView &agent,
                          const JobRun &run,
                          std::vector<std::string> taskIds,
                          EntryOutbox &out) const;

    void complete(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void fail(const JobRunPtr &run, const char *kind, const std::string &message, MonotonicTime now, EntryOutbox &out);
    void advanceResolving(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    /** Answers a failed job. Reports "unknown" for "not run" unless @p recorded and the lease holds. */
    void finishFailed(const JobRunPtr &run, bool recorded, MonotonicTime now, EntryOutbox &out);
    void finish(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void failOverdueJobs(MonotonicTime now, EntryOutbox &out);
    void reply(const Waiter &waiter, const wire::JobAnswer &answer);
    void replyWithKind(const Waiter &waiter, const std::string &jobId, wire::AnswerKind::type kind);

    const OwnerTiming timing_;
    const ClusterStateTracker &clusterState_;
    AgentDirectory &directory_;
    AnswerCache answers_;
    Dispatcher dispatcher_;
    RunTimeModel runTimes_;
    std::optional<ClaimLog> claims_;
    int64_t claimGeneration_ = 0; ///< Call id of claims_; results that carry an earlier one are ignored.
    std::string incarnation_; ///< Incarnation for which claims_ was opened.
    std::map<int, ShardState> shards_; ///< Owned shards, by index.
    std::map<int64_t, ShardRecovery> recoveries_;
    int64_t lastRecoveryId_ = 0;
    std::map<int, std::map<std::string, RecoveredJob>> recovered_; ///< By shard and job id.
    std::vector<DeferredRequest> deferred_; ///< Submissions to shards in recovery.
    absl::btree_map<std::string, JobRunPtr> jobs_; ///< By job id; ended ones too.
    std::map<std::string, JobRunPtr> active_; ///< Jobs that have not ended, by job id.
    std::map<std::string, UnreachableAgent> unreachable_; ///< By agent name.
    bool fenced_ = false;
    std::vector<AddressedReply> replies_;
};

} // namespace marjoramferry
