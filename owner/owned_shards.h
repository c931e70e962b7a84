#pragma once

#include "core/time.h"
#include "owner/agent_directory.h"
#include "owner/entry_command.h"
#include "owner/shard_recovery.h"
#include "version/ownership_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

/** The shards that this entry owns, their recovery after a change of owner, and their hand-over. Holds no jobs. */
class OwnedShards
{
public:
    /** @p recoveryTimeout is the maximum wait for agents' start records after a change of owner. */
    explicit OwnedShards(Milliseconds recoveryTimeout);

    /**
     * Applies the ownership map of this version and starts the recovery of gained shards. Returns the lost shards,
     * which include those gained again under a later epoch. @p self is empty if this entry can't own shards.
     */
    std::vector<int>
    update(const OwnershipMap &ownership, int64_t version, const std::optional<std::string> &self, MonotonicTime now);

    /** Gives up all shards and their recoveries; returns the shards. */
    std::vector<int> clear();

    bool isEmpty() const
    {
        return shards_.empty();
    }

    bool contains(int shard) const
    {
        return shards_.contains(shard);
    }

    /** The epoch of an owned shard. */
    int64_t epochOf(int shard) const
    {
        return shards_.at(shard).epoch;
    }

    /** Whether the shard is owned and still collects the starts made by earlier owners. */
    bool isRecovering(int shard) const;

    /** Whether the shard is owned and takes no new jobs. */
    bool isDraining(int shard) const;

    /** Number of shards in recovery. */
    size_t recoveringCount() const;

    /** Returns what is known of a job that an earlier owner claimed, or nullptr. */
    const RecoveredJob *findRecovered(const std::string &jobId) const;

    /** Stops accepting new jobs in the shards, until a map after this version leaves them here. */
    void beginDraining(const std::vector<int> &shards, int64_t version);

    /** The recovered, draining shards that are not in @p busy. */
    std::vector<int> idleDrainingShards(const std::set<int> &busy) const;

    /** Continues the recoveries and adopts the results of those that are done. */
    void advanceRecoveries(const AgentDirectory &directory, MonotonicTime now, EntryOutbox &out);

    void onStartRecords(const wire::StartRecords &records);

    /** Handles the rows that a recovery has read. Throws Malformed if one is damaged. */
    void onTableResult(int64_t recoveryId, const TableResult &result, EntryOutbox &out);

private:
    struct ShardState
    {
        int64_t epoch = 0;
        int64_t recoveryId = 0; ///< Request id of the running recovery; zero when there is none.
        std::optional<int64_t> drainingSince; ///< Ownership version at which draining began.
    };

    void remove(int shard);
    void startRecoveries(const OwnershipMap &ownership, const std::vector<int> &gained, MonotonicTime now);
    void adopt(int64_t recoveryId, RecoveredShards &&result);

    const Milliseconds recoveryTimeout_;
    std::map<int, ShardState> shards_; ///< By index.
    std::map<int64_t, ShardRecovery> recoveries_;
    int64_t lastRecoveryId_ = 0;
    std::map<int, std::map<std::string, RecoveredJob>> recovered_; ///< By shard and job id.
};

} // namespace marjoramferry
