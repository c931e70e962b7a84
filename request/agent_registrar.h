#pragma once

#include "core/table.h"
#include "core/time.h"
#include "request/entry_command.h"
#include "request/shard_recovery.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace marjoramferry {

/** An agent that is written down, with the ownership row read after that. */
struct Registration
{
    std::string incarnation;
    int64_t version = 0; ///< Of the agent's row.
    int64_t ownershipVersion = 0; ///< The agent must know the epochs of this map before its first start.
};

/**
 * Writes agents down at the table service, so that a later owner knows whom to ask.
 *
 * A registration is granted only with an ownership map that was read after it was committed: an
 * owner that is replaced before can't use the agent, and one that is replaced later finds its row.
 */
class AgentRegistrar
{
public:
    /** Asks for the agent to be registered, or to be written down as gone. */
    void request(const std::string &agent, const std::string &incarnation, bool left);

    /** The registration of this incarnation, once it is granted. */
    std::optional<Registration> find(const std::string &agent, const std::string &incarnation) const;

    /** Makes the calls that are due, a few at a time. */
    void advance(MonotonicTime now, EntryOutbox &out);

    void onTableResult(int64_t callId, const TableResult &result, MonotonicTime now);

private:
    enum class Step { Read, Write, ReadOwnership, Done };

    struct Entry
    {
        std::string agent;
        std::string incarnation;
        bool left = false;
        Step step = Step::Read;
        bool inFlight = false;
        MonotonicTime nextAt;
        int64_t rowVersion = 0; ///< As read.
        bool rowExists = false;
        Registration registration;
    };

    TableRequest requestFor(const Entry &entry) const;
    void onRowRead(Entry &entry, const TableResult &result);

    std::map<std::string, int64_t> byAgent_;
    std::map<int64_t, Entry> entries_; ///< By call id.
    int64_t lastId_ = 0;
    int inFlight_ = 0;
};

} // namespace marjoramferry
