#pragma once

#include "owner/agent_directory.h"
#include "owner/answer_cache.h"
#include "owner/dispatcher.h"
#include "owner/entry_command.h"
#include "owner/job_run.h"
#include "owner/job_table.h"
#include "owner/owned_shards.h"
#include "owner/owner_claims.h"
#include "owner/owner_quotas.h"
#include "owner/reply_queue.h"
#include "owner/run_time_model.h"
#include "owner/submission_check.h"
#include "owner/task_reconciler.h"
#include "owner/unreachable_agents.h"
#include "version/cluster_state_tracker.h"

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

/**
 * Manages the jobs of the shards that this entry owns: admission, claims, execution and answers.
 *
 * No task is sent before its job's claim is committed. A task is sent to a second agent only after
 * the first agent has confirmed that it has not started the task and never will.
 */
class JobOwner
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
        return !shards_.isEmpty();
    }

    /** Whether this incarnation lost its fence row since the last call; clears the flag. */
    bool consumeFencedFlag()
    {
        return claims_.consumeFencedFlag();
    }

    std::vector<AddressedReply> takeReplies()
    {
        return replies_.take();
    }

    /** Number of jobs that have not ended. */
    size_t activeJobs() const
    {
        return jobs_.activeCount();
    }

    /** Number of shards still collecting the starts made by earlier owners. */
    size_t recoveringShards() const
    {
        return shards_.recoveringCount();
    }

private:
    struct DeferredRequest
    {
        LinkId link = LocalLink;
        wire::SubmitJob message;
        MonotonicTime deadline;
    };

    /** Tells the callers of the jobs in a lost shard that they moved, and forgets the jobs. */
    void dropJobs(int shard, EntryOutbox &out);
    void dropAllShards(EntryOutbox &out);
    /** Submits the requests whose shards have been recovered. */
    void submitDeferred(MonotonicTime now, EntryOutbox &out);

    void submitExisting(const JobRunPtr &run, const wire::SubmitJob &message, const Waiter &waiter);
    void submitNew(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now, EntryOutbox &out);
    JobRunPtr createRun(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now);
    /** Continues a resubmitted job that an earlier owner claimed. */
    void resume(const JobRunPtr &run, const RecoveredJob &recovered, MonotonicTime now, EntryOutbox &out);
    void claim(const JobRun &run, bool ended);
    void onClaimed(const ClaimsCommitted &committed, MonotonicTime now, EntryOutbox &out);

    void beginRunning(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void
    onTaskEnded(const JobRunPtr &run, int index, const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out);
    void onTaskRefused(const JobRunPtr &run, int index);
    void declareAgentLost(const AgentIncarnation &agent, MonotonicTime now, EntryOutbox &out);

    void complete(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void fail(const JobRunPtr &run, const char *kind, const std::string &message, MonotonicTime now, EntryOutbox &out);
    void advanceResolving(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    /** Answers a failed job. Reports "unknown" for "not run" unless @p recorded and the lease holds. */
    void finishFailed(const JobRunPtr &run, bool recorded, MonotonicTime now, EntryOutbox &out);
    void finish(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void failOverdueJobs(MonotonicTime now, EntryOutbox &out);

    const OwnerTiming timing_;
    const ClusterStateTracker &clusterState_;
    AgentDirectory &directory_;
    AnswerCache answers_;
    OwnerQuotas quotas_;
    Dispatcher dispatcher_;
    RunTimeModel runTimes_;
    SubmissionCheck submissions_;
    OwnerClaims claims_;
    OwnedShards shards_;
    std::vector<DeferredRequest> deferred_; ///< Submissions to shards in recovery.
    JobTable jobs_;
    UnreachableAgents unreachable_;
    TaskReconciler reconciler_;
    ReplyQueue replies_;
};

} // namespace marjoramferry
