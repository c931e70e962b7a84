#pragma once

#include "core/table.h"
#include "core/time.h"
#include "owner/claim_log.h"
#include "owner/entry_command.h"

#include <cstdint>
#include <optional>
#include <string>

namespace marjoramferry {

/** The claim log of this entry's current incarnation as an owner, over changes of the incarnation. */
class OwnerClaims
{
public:
    explicit OwnerClaims(ClaimTiming timing);

    /** Opens the claim log of an incarnation; does nothing if it was opened before. */
    void open(const std::string &incarnation, int64_t fenceVersion, MonotonicTime joinSentAt);

    bool isOpen() const
    {
        return log_.has_value();
    }

    /** Adds a claim to the next write. The log must be open. */
    void add(Claim claim);

    /** Whether no other entry can have taken over. The log must be open. */
    bool hasLease(MonotonicTime now) const;

    /** Issues the next write or read if one is due. */
    void advance(MonotonicTime now, EntryOutbox &out);

    /** Handles the result of a call; ignores those of earlier incarnations. Closes the log once it is fenced. */
    ClaimOutcome onTableResult(int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out);

    /** Whether the log was fenced since the last call; clears the flag. */
    bool consumeFencedFlag();

private:
    const ClaimTiming timing_;
    std::optional<ClaimLog> log_;
    std::string incarnation_; ///< Incarnation for which the log was opened.
    int64_t generation_ = 0; ///< Call id of the log; results that carry an earlier one are ignored.
    bool isFenced_ = false;
};

} // namespace marjoramferry
