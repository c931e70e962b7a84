#pragma once

#include "core/table.h"
#include "core/time.h"
#include "owner/agent_directory.h"
#include "owner/claim_log.h"
#include "owner/entry_command.h"
#include "version/ownership_map.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

/** The registration row of an agent in the table service. */
struct AgentRow
{
    std::string incarnation;
    bool restarted = false; ///< An earlier incarnation may have started tasks of which the records are lost.
    bool deregistered = false; ///< It drained and stopped, and its start records are gone.

    auto operator<=>(const AgentRow &) const = default;

    std::string toJson() const;

    /** Throws Malformed. */
    static AgentRow fromJson(const Row &row);

    static std::string keyOf(const std::string &agent);
};

/** A start that an agent reported after a change of owner. */
struct RecoveredStart
{
    std::string agent;
    std::string incarnation;
    wire::StartRecord record;
};

/** What a recovery found out about a job that an earlier owner claimed. */
struct RecoveredJob
{
    int64_t fingerprint = 0;
    bool ended = false; ///< It was answered as failed: no more of its tasks may start.
    bool hasAllRecords = false; ///< Every agent that may have started one of its tasks has sent its records.
    std::map<std::string, RecoveredStart> starts; ///< By task id.
};

/** The result of a recovery: the jobs that earlier owners claimed in the shards. */
struct RecoveredShards
{
    std::vector<int> shards;
    std::map<std::string, RecoveredJob> jobs; ///< By job id.
};

/**
 * Recovers the jobs that earlier owners of some shards may have started.
 *
 * Reads the claims of these owners and the list of registered agents, fences every connected agent
 * and collects the agents' start records. It ends when all registered agents have answered or on
 * timeout. A job has all records only if every agent that may have started one of its tasks answered.
 */
class ShardRecovery
{
public:
    ShardRecovery(int64_t requestId,
                  std::vector<wire::ShardEpoch> shards,
                  const std::set<std::string> &predecessors,
                  MonotonicTime startedAt,
                  Milliseconds timeout);

    int64_t requestId() const
    {
        return requestId_;
    }

    /** Reads the next rows and sends a Fence to the agents that have not received one yet. */
    void advance(const AgentDirectory &directory, MonotonicTime now, EntryOutbox &out);

    /** Handles the rows of the read in flight. Throws Malformed if one is damaged; they are then read again. */
    void onTableResult(const TableResult &result, EntryOutbox &out);

    void onStartRecords(const wire::StartRecords &reply);

    bool isDone(MonotonicTime now) const;

    RecoveredShards result() const;

private:
    void readNext(EntryOutbox &out);
    bool hasAllRows() const;
    bool hasRecordsOf(const std::string &agent, const AgentRow &row) const;
    int64_t lastRecordLossVersion() const;

    const int64_t requestId_;
    const std::vector<wire::ShardEpoch> shards_;
    const MonotonicTime startedAt_;
    const Milliseconds timeout_;
    std::vector<std::string> prefixes_; ///< Key prefixes still to be read, from the back.
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
    std::map<std::string, wire::StartRecords> answers_; ///< By agent name.
    std::set<LinkId> fencedLinks_;
};

} // namespace marjoramferry
