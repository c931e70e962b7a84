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

/** Names one task of one job. */
struct TaskKey
{
    std::string jobId;
    std::string taskId;

    auto operator<=>(const TaskKey &) const = default;

    /** Lets Abseil's tables hash a key. */
    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const TaskKey &key)
    {
        return Hash::combine(std::move(state), key.jobId, key.taskId);
    }
};

/** Orders the starts that owners ask for: by epoch of the shard, then by the owner's count. */
struct StartOrder
{
    int64_t epoch = 0;
    int64_t sequence = 0;

    auto operator<=>(const StartOrder &) const = default;
};

/** Bounds of what an agent remembers. */
struct StartRecordLimits
{
    Milliseconds retention{600'000}; ///< How long a start is remembered.
    size_t maxRecords = 200'000; ///< A start beyond these is refused, never an older one forgotten.
    size_t maxOutputBytes = 8U << 20U; ///< The oldest outputs beyond these are dropped.
};

/** The start may go to the endpoint now. */
struct StartAdmitted
{
};

/** The task was decided before; nothing starts. */
struct StartKnown
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

using StartDecision = std::variant<StartAdmitted, StartKnown, StartRefused>;

/**
 * The agent's memory of starts: the last word on whether a task may start.
 *
 * It admits each task at most once while it is remembered, and no start of an older epoch once it
 * has seen a newer one of the same shard.
 */
class StartGate
{
public:
    explicit StartGate(StartRecordLimits memory);

    /** What is known of a task that an order asks for; nothing if the order may still be admitted. */
    std::optional<StartKnown> find(const TaskKey &key, StartOrder order) const;

    /** Admits the task and remembers it as running, or tells why not. */
    StartDecision admit(const TaskKey &key, int shard, StartOrder order, MonotonicTime now);

    /** Takes in how an admitted task ended. A start that never reached the endpoint is forgotten. */
    void finish(const TaskKey &key, wire::StartState::type state, std::string output, int runMs);

    /** Tells the state of a task; one that did not start here is refused for orders up to @p order. */
    StartKnown resolve(const TaskKey &key, int shard, StartOrder order, MonotonicTime now);

    /** Refuses epochs below @p epoch in the shard from now on. Returns false if a newer one is known. */
    bool fence(int shard, int64_t epoch);

    /** All starts remembered for the shards. */
    std::vector<wire::StartRecord> recordsOf(const std::vector<int> &shards) const;

    /** Forgets what is past the horizon. */
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
        StartOrder refusedUpTo; ///< Set when the state is REFUSED.
        std::string output;
        bool outputDropped = false;
        int runMs = 0;
    };

    struct Age
    {
        MonotonicTime at;
        TaskKey key;
    };

    static StartKnown known(const Record &record);
    void forgetIfOld(const TaskKey &key, MonotonicTime now);
    void remember(const TaskKey &key, Record record, MonotonicTime now);
    void dropOldOutputs();

    const StartRecordLimits memory_;
    std::array<int64_t, ShardCount> epochs_{};
    absl::flat_hash_map<TaskKey, Record> records_;
    std::deque<Age> ages_; ///< By time of start.
    std::deque<TaskKey> outputs_; ///< By time of ending.
    size_t outputBytes_ = 0;
};

} // namespace marjoramferry
