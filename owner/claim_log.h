#pragma once

#include "core/table.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Stored record that tasks of a job may be started, or, if ended, that no more of them may be. */
struct Claim
{
    std::string jobId;
    int64_t fingerprint = 0;
    int shard = 0;
    bool ended = false;

    auto operator<=>(const Claim &) const = default;
};

struct ClaimTiming
{
    Milliseconds writeInterval{10}; ///< Mean time between writes under sustained load.
    int maxBurst = 20; ///< Capacity of the token bucket: writes allowed back to back after an idle time.
    Milliseconds renewalInterval{500}; ///< Time after the last write at which the fence row is renewed.
    Milliseconds retryDelay{100}; ///< Delay after a call without an answer.
    Milliseconds leaseDuration{2500}; ///< No takeover for this long after a renewal; below takeoverTimeout.
    Milliseconds retention{600'000}; ///< How long claim rows are kept.
};

/** Claims were committed by the transaction with this version. */
struct ClaimsCommitted
{
    std::vector<Claim> claims;
    int64_t version = 0;
};

/** The fence row no longer exists: another entry took over the shards. */
struct ClaimLogFenced
{
};

using ClaimOutcome = std::variant<std::monostate, ClaimsCommitted, ClaimLogFenced>;

/**
 * Write-ahead log of the claims of one owner incarnation, which also renews its lease.
 *
 * Pending claims are written in batches with at most one transaction in flight. Each transaction
 * requires that the fence row is unchanged since this owner's last write. If the answer is lost,
 * the fence row is read back before anything else is written.
 */
class ClaimLog
{
public:
    /** @p fenceVersion is the version of the fence row that made this incarnation an owner. */
    ClaimLog(std::string incarnation, int64_t fenceVersion, MonotonicTime renewedAt, ClaimTiming timing);

    void add(Claim claim);

    /** Returns the next call to the table service, if one is due. At most one is in flight. */
    std::optional<TableRequest> nextRequest(MonotonicTime now);

    /** Handles the result of the last request. */
    ClaimOutcome onResult(const TableResult &result, MonotonicTime now);

    /** Returns whether the lease is valid, so that no other entry can have taken over. */
    bool hasLease(MonotonicTime now) const;

    /** Number of claims that are not known to be committed. */
    size_t pendingCount() const
    {
        return pending_.size() + inFlight_.size();
    }

    static std::string fenceKey(const std::string &incarnation);
    static std::string claimPrefix(const std::string &incarnation);

    /** Parses the claims of a stored row. Throws Malformed. */
    static std::vector<Claim> parseRow(const Row &row);

private:
    enum class State { Idle, Writing, ReadBackNeeded, ReadingBack, Fenced };

    struct WrittenRow
    {
        int64_t sequence = 0;
        MonotonicTime sentAt;
    };

    void refillTokens(MonotonicTime now);
    TableTransaction makeTransaction(MonotonicTime now);
    ClaimOutcome onWriteResult(const TableResult &result, MonotonicTime now);
    ClaimOutcome onReadBack(const TableResult &result, MonotonicTime now);
    ClaimOutcome commit(int64_t version);
    std::string rowKey(int64_t sequence) const;

    const std::string incarnation_;
    const ClaimTiming timing_;
    State state_ = State::Idle;
    int64_t fenceVersion_;
    int64_t sequence_ = 0; ///< Number of the last transaction known to be committed.
    std::vector<Claim> pending_; ///< Not part of a transaction yet.
    std::vector<Claim> inFlight_; ///< The claims in unconfirmed_.
    std::optional<TableTransaction> unconfirmed_; ///< Sent, but not known to be committed; retried unchanged.
    MonotonicTime lastWrite_;
    double tokens_; ///< Writes allowed now; refilled by one per timing_.writeInterval, up to timing_.maxBurst.
    MonotonicTime refilledAt_;
    std::optional<MonotonicTime> firstSentAt_; ///< When unconfirmed_ was first sent.
    MonotonicTime renewedAt_; ///< When the last committed write was first sent.
    MonotonicTime retryAt_;
    std::deque<WrittenRow> written_; ///< Claim rows to delete when their retention ends, oldest first.
};

} // namespace marjoramferry
