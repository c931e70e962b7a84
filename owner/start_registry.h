#pragma once

#include "core/shard.h"
#include "core/time.h"

#include <messages_types.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Identifies a task of a job. */
struct TaskKey
{
    std::string jobId;
    std::string taskId;

    auto operator<=>(const TaskKey &) const = default;

    /** Makes the key hashable by Abseil's containers. */
    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const TaskKey &key)
    {
        return Hash::combine(std::move(state), key.jobId, key.taskId);
    }
};

/** Total order of the start requests for a shard: by its epoch, then by the owner's sequence number. */
struct StartOrder
{
    int64_t epoch = 0;
    int64_t sequence = 0;

    auto operator<=>(const StartOrder &) const = default;
};

/** Limits of the start records that an agent keeps. */
struct StartRecordLimits
{
    Milliseconds retention{600'000}; ///< How long a record is kept.
    size_t maxRecords = 200'000; ///< At this limit new starts are refused; existing records are never evicted.
    size_t maxOutputBytes = 8U << 20U; ///< Above this total the oldest outputs are dropped.
};

/** The task is recorded as running and must be sent to the endpoint. */
struct StartAdmitted
{
};

/** Recorded status of a task that was already started or refused; it must not be started again. */
struct StartStatus
{
    wire::StartState::type state = wire::StartState::REFUSED;
    std::string output;
    bool outputDropped = false;
    int runMs = 0;
};

struct StartRefused
{
    wire::RefusalKind::type kind = wire::RefusalKind::NONE;
};

using StartDecision = std::variant<StartAdmitted, StartStatus, StartRefused>;

/**
 * Records the starts of an agent and decides whether a task may start.
 *
 * A task is admitted at most once while its record is kept. Starts with an epoch older than the
 * newest one known for their shard are refused.
 */
class StartRegistry
{
public:
    explicit StartRegistry(StartRecordLimits limits);

    /** Returns the status that decides @p order without a start, or nothing if the order can still be admitted. */
    std::optional<StartStatus> find(const TaskKey &key, StartOrder order) const;

    /** Admits the task and records it as running, or returns the reason why it must not start. */
    StartDecision admit(const TaskKey &key, int shard, StartOrder order, MonotonicTime now);

    /**
     * Records the outcome of an admitted task. The record is erased if @p state is REFUSED, as the
     * start never reached the endpoint.
     */
    void finish(const TaskKey &key, wire::StartState::type state, std::string output, int runMs);

    /** Returns the status of a task. One that was not started here is refused for all orders up to @p order. */
    StartStatus resolve(const TaskKey &key, int shard, StartOrder order, MonotonicTime now);

    /**
     * Refuses epochs below @p epoch in the shard from now on. Returns false if a newer epoch is
     * known or the shard doesn't exist.
     */
    bool fence(int shard, int64_t epoch);

    /** The records of started tasks in @p shards, sorted by task. */
    std::vector<wire::StartRecord> recordsOf(const std::vector<int> &shards) const;

    /** Erases the records that are older than the retention time. Running tasks are kept. */
    void expire(MonotonicTime now);

    size_t size() const
    {
        return records_.size();
    }

private:
    struct Record
    {
        wire::StartState::type state = wire::StartState::RUNNING;
        int shard = 0;
        MonotonicTime startedAt;
        StartOrder refusedUpTo; ///< When the state is REFUSED, orders above this can be admitted.
        std::string output;
        bool outputDropped = false;
        int runMs = 0;
    };

    struct ExpiryEntry
    {
        MonotonicTime startedAt;
        TaskKey key;
    };

    static StartStatus statusOf(const Record &record);
    void eraseIfExpired(const TaskKey &key, MonotonicTime now);
    void insertRecord(const TaskKey &key, Record record, MonotonicTime now);
    void dropOldestOutputs();

    const StartRecordLimits limits_;
    std::array<int64_t, ShardCount> epochs_{}; ///< Newest known epoch, by shard.
    absl::flat_hash_map<TaskKey, Record> records_;
    std::deque<ExpiryEntry> expiryQueue_; ///< Sorted by start time.
    std::deque<TaskKey> outputQueue_; ///< Tasks with an output, sorted by end time.
    size_t outputBytes_ = 0;
};

} // namespace marjoramferry
