#pragma once

#include "core/table.h"
#include "core/time.h"
#include "request/agent_directory.h"
#include "request/claim_log.h"
#include "request/entry_command.h"
#include "version/ownership_map.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

/** The row that an agent has at the table service. */
struct AgentRow
{
    std::string incarnation;
    bool restarted = false; ///< An earlier incarnation may have started work that this one forgot.
    bool left = false; ///< It drained and went; its memory went with it.

    auto operator<=>(const AgentRow &) const = default;

    std::string toJson() const;

    /** Throws Malformed. */
    static AgentRow fromJson(const Row &row);

    static std::string keyOf(const std::string &agent);
};

/** A start that an agent told of after a change of owner. */
struct RecoveredStart
{
    std::string agent;
    std::string incarnation;
    wire::StartRecord record;
};

/** All that is known of a job that an earlier owner claimed. */
struct RecoveredJob
{
    int64_t fingerprint = 0;
    bool ended = false; ///< It was answered as failed: nothing more of it may start.
    bool hasAllRecords = false; ///< Every agent that may have started a task of it has told.
    std::map<std::string, RecoveredStart> starts; ///< By task id.
};

/** The result of a recovery: the jobs that earlier owners claimed in the shards. */
struct RecoveredShards
{
    std::vector<int> shards;
    std::map<std::string, RecoveredJob> jobs; ///< By job id.
};

/**
 * Finds out what earlier owners of some shards may have started.
 *
 * It reads their claims and the list of registered agents, fences every agent that it can reach and
 * collects their records of starts. It is over when all agents have told or the time is up; a job
 * is accounted for only if no agent that may have run a part of it is missing.
 */
class ShardRecovery
{
public:
    ShardRecovery(int64_t requestId,
                  std::vector<wire::ShardEpoch> shards,
                  const std::set<std::string> &predecessors,
                  MonotonicTime startedAt,
                  Milliseconds patience);

    int64_t requestId() const
    {
        return requestId_;
    }

    /** Asks for the next rows, and fences the agents that were not asked yet. */
    void advance(const AgentDirectory &directory, MonotonicTime now, EntryOutbox &out);

    /** Takes in rows, in the order in which they were asked for. */
    void onTableResult(const TableResult &result, EntryOutbox &out);

    void onStartRecords(const wire::StartRecords &reply);

    bool isDone(MonotonicTime now) const;

    RecoveredShards result() const;

private:
    void readNext(EntryOutbox &out);
    bool hasAllRows() const;
    bool hasAnswerOf(const std::string &agent, const AgentRow &row) const;
    int64_t accountedFrom() const;

    const int64_t requestId_;
    const std::vector<wire::ShardEpoch> shards_;
    const MonotonicTime startedAt_;
    const Milliseconds patience_;
    std::vector<std::string> prefixes_; ///< Still to be read, the last one first.
    bool reading_ = false;

    struct StoredClaim
    {
        Claim claim;
        int64_t version = 0;
    };
    std::vector<StoredClaim> claims_;

    struct StoredAgent
    {
        AgentRow row;
        int64_t version = 0;
    };
    std::map<std::string, StoredAgent> agents_;
    std::map<std::string, wire::StartRecords> answers_; ///< By agent.
    std::set<LinkId> asked_;
};

} // namespace marjoramferry
