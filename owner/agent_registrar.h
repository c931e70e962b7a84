#pragma once

#include "core/table.h"
#include "core/time.h"
#include "owner/entry_command.h"
#include "owner/shard_recovery.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace marjoramferry {

/** A committed registration of an agent, with the ownership version that was read after the commit. */
struct Registration
{
    std::string incarnation;
    int64_t version = 0; ///< Version of the agent's row.
    int64_t ownershipVersion = 0; ///< The agent must know this map's epochs before its first start.
};

/**
 * Registers agents in the table service, so that a later owner knows which agents may have started tasks.
 *
 * A registration is granted only with an ownership map that was read after the agent's row was
 * committed. The agent therefore refuses owners that were replaced before that read, and the
 * successor of an owner that is replaced later finds the row.
 */
class AgentRegistrar
{
public:
    /**
     * Requests that the agent is registered or, if @p deregistered, marked as deregistered. A request that
     * differs from one in flight is dropped; the agent's next heartbeat repeats it.
     */
    void request(const std::string &agent, const std::string &incarnation, bool deregistered);

    /** Returns the registration of this incarnation, if it has been granted. */
    std::optional<Registration> find(const std::string &agent, const std::string &incarnation) const;

    /** Sends the table calls that are due, up to a limit of calls in flight. */
    void advance(MonotonicTime now, EntryOutbox &out);

    void onTableResult(int64_t callId, const TableResult &result, MonotonicTime now);

private:
    enum class Step { Read, Write, ReadOwnership, Done };

    struct AgentRecord
    {
        std::string agent;
        std::string incarnation;
        bool deregistered = false;
        Step step = Step::Read;
        bool inFlight = false;
        MonotonicTime nextAttemptAt;
        int64_t rowVersion = 0; ///< Version that was read; 0 if there was no row.
        bool rowExists = false;
        Registration registration;
    };

    TableRequest requestFor(const AgentRecord &record) const;
    void onRowRead(AgentRecord &record, const TableResult &result);

    std::map<std::string, int64_t> callIds_; ///< By agent name.
    std::map<int64_t, AgentRecord> records_; ///< By call id.
    int64_t lastCallId_ = 0;
    int inFlightCount_ = 0;
};

} // namespace marjoramferry
