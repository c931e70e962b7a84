#pragma once

#include "request/admission.h"
#include "request/agent_directory.h"
#include "request/answer_cache.h"
#include "request/claim_log.h"
#include "request/dispatcher.h"
#include "request/entry_command.h"
#include "request/job_run.h"
#include "request/run_time_model.h"
#include "request/shard_recovery.h"
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
    Milliseconds endMargin{60}; ///< A job that can't end in time begins to fail so long before its deadline.
    Milliseconds resolvePatience{200}; ///< How long the state of sent tasks is waited for.
    Milliseconds recordPatience{300}; ///< How long the record of a failure is waited for.
    Milliseconds recoveryPatience{2500}; ///< How long agents are waited for after a change of owner.
    Milliseconds lostAgentTimeout{3000}; ///< A cut-off agent that stays away longer is given up.
    Milliseconds answerRetention{600'000}; ///< Ended jobs are kept for so long.
    size_t maxAnswerBytes = 8U << 20U; ///< Complete answers beyond these lose their outputs, oldest first.
};

/** A reply to the entry that brought a request; link zero is this process. */
struct OwnerMessage
{
    LinkId link = LocalLink;
    wire::OwnerReply reply;
};

/**
 * The jobs of the shards that this entry owns: it admits, claims, runs, ends and remembers them.
 *
 * No task is sent before its job's claim is committed, and none is sent to a second agent before
 * the first one has said that it did not start it and will not.
 */
class JobOwner : private QuotaSource
{
public:
    JobOwner(OwnerTiming timing, const ClusterStateTracker &keeper, AgentDirectory &directory, Placement placement);

    /** Takes in a changed ownership map: starts recoveries of gained shards, drops lost ones. */
    void onOwnership(MonotonicTime now, EntryOutbox &out);

    void onSubmit(LinkId link, const wire::SubmitJob &message, MonotonicTime now, EntryOutbox &out);
    void onLookup(LinkId link, const wire::LookupJob &message, MonotonicTime now, EntryOutbox &out);
    void onTaskReport(const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out);
    void onStartRecords(const wire::StartRecords &reply);
    void
    onTableResult(TableCaller user, int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out);

    /** The link of an agent broke, or it fell silent. */
    void onAgentLost(const AgentView &agent, MonotonicTime now);

    /** An agent announced itself over a new link. */
    void onAgentBack(const AgentView &agent, MonotonicTime now, EntryOutbox &out);

    void onTick(MonotonicTime now, EntryOutbox &out);

    /** Sends waiting tasks and claims. Called after every event. */
    void advance(MonotonicTime now, EntryOutbox &out);

    /** From now on the shards take no new jobs; they are handed over when idle. */
    void refuseNew(const std::vector<int> &shards);

    /** The shards that refuse new jobs and have none running. */
    std::vector<int> idleRefusingShards() const;

    bool ownsAnyShard() const
    {
        return !shards_.empty();
    }

    /** True once after this incarnation lost its fence row. */
    bool takeDeposed();

    std::vector<OwnerMessage> takeReplies();

    /** Jobs that have not ended. */
    size_t activeJobs() const
    {
        return active_.size();
    }

    /** Shards that wait for what earlier owners started. */
    size_t recoveringShards() const;

private:
    struct ShardState
    {
        int64_t epoch = 0;
        int64_t recovery = 0; ///< Request id of its recovery; zero when it is ready.
        std::optional<int64_t> refusingSince; ///< Version of the ownership row when it stopped taking jobs.
    };

    struct HeldRequest
    {
        LinkId link = LocalLink;
        wire::SubmitJob message;
        MonotonicTime deadline;
    };

    struct LostAgent
    {
        std::string incarnation;
        MonotonicTime since;
    };

    int mayRun(const std::string &tenant) const override;
    int partFor(int limit) const;

    void openClaimLog();
    void startRecoveries(const std::vector<int> &gained, MonotonicTime now);
    void finishRecoveries(MonotonicTime now, EntryOutbox &out);
    void dropShard(int shard, EntryOutbox &out);
    void dropAllShards(EntryOutbox &out);

    void submitKnown(const JobRunPtr &run, const wire::SubmitJob &message, const Waiter &waiter);
    void submitNew(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now, EntryOutbox &out);
    std::optional<wire::JobAnswer> refuse(const wire::SubmitJob &message, MonotonicTime now);
    JobRunPtr createRun(const wire::SubmitJob &message, const Waiter &waiter, MonotonicTime now);
    void adoptStarts(const JobRunPtr &run, const RecoveredJob &known, MonotonicTime now, EntryOutbox &out);
    void adoptStart(const JobRunPtr &run, size_t index, const RecoveredStart &start);
    void claim(const JobRun &run, bool ended);
    void onClaimed(const ClaimsCommitted &committed, MonotonicTime now, EntryOutbox &out);

    void beginRunning(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void
    noteTaskEnd(const JobRunPtr &run, int index, const wire::TaskReport &report, MonotonicTime now, EntryOutbox &out);
    void noteRefused(const JobRunPtr &run, int index);
    void giveUpAgent(const std::string &agent, const std::string &incarnation, MonotonicTime now, EntryOutbox &out);
    /** Asks the agents for the state of the job's tasks that are in this phase. */
    void resolveIn(const JobRun &run, TaskPhase phase, MonotonicTime now, EntryOutbox &out);
    void askAgent(const AgentView &agent, const JobRun &run, std::vector<std::string> taskIds, EntryOutbox &out) const;

    void complete(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void fail(const JobRunPtr &run, const char *kind, const std::string &message, MonotonicTime now, EntryOutbox &out);
    void advanceEnding(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void finishFailed(const JobRunPtr &run, bool recorded, MonotonicTime now, EntryOutbox &out);
    void finish(const JobRunPtr &run, MonotonicTime now, EntryOutbox &out);
    void failOverdue(MonotonicTime now, EntryOutbox &out);
    void reply(const Waiter &waiter, const wire::JobAnswer &answer);
    void replyKind(const Waiter &waiter, const std::string &jobId, wire::AnswerKind::type kind);

    const OwnerTiming timing_;
    const ClusterStateTracker &keeper_;
    AgentDirectory &directory_;
    AnswerCache answers_;
    Dispatcher dispatcher_;
    RunTimeModel runTimes_;
    std::optional<ClaimLog> claims_;
    int64_t claimGeneration_ = 0; ///< Tells the calls of one claim log from those of an earlier one.
    std::string incarnation_; ///< For which claims_ was opened.
    std::map<int, ShardState> shards_; ///< Those owned.
    std::map<int64_t, ShardRecovery> recoveries_;
    int64_t lastRecovery_ = 0;
    std::map<int, std::map<std::string, RecoveredJob>> recovered_; ///< By shard, by job id.
    std::vector<HeldRequest> held_; ///< For shards that recover.
    absl::btree_map<std::string, JobRunPtr> jobs_;
    std::map<std::string, JobRunPtr> active_; ///< Not ended.
    std::map<std::string, LostAgent> lost_;
    bool deposed_ = false;
    std::vector<OwnerMessage> replies_;
};

} // namespace marjoramferry
