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

/** Says that a job may have starts from now on, or that it ended and must start nothing more. */
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
    Milliseconds writeInterval{10}; ///< Mean time between two writes under a load that lasts.
    int burst = 20; ///< Writes that may go out at once after a quiet time.
    Milliseconds renewal{500}; ///< The fence row is renewed at least so often.
    Milliseconds retry{100}; ///< Pause after a write that had no answer.
    Milliseconds leaseDuration{2500}; ///< Nobody takes over sooner after a renewal; below the takeover time.
    Milliseconds retention{600'000}; ///< Claims are kept for so long.
};

/** Claims that are committed, with the version of their transaction. */
struct ClaimsCommitted
{
    std::vector<Claim> claims;
    int64_t version = 0;
};

/** The fence row is gone: another entry took over. */
struct ClaimLogFenced
{
};

using ClaimOutcome = std::variant<std::monostate, ClaimsCommitted, ClaimLogFenced>;

/**
 * The claim log of one owner incarnation.
 *
 * Claims that wait are written together, one transaction in flight, each on condition that the
 * fence row still is as this owner left it. A transaction whose answer was lost is read back
 * before anything else is written.
 */
class ClaimLog
{
public:
    /** @p fenceVersion is the version of the fence row that made this incarnation an owner. */
    ClaimLog(std::string incarnation, int64_t fenceVersion, MonotonicTime renewedAt, ClaimTiming timing);

    void add(Claim claim);

    /** The next call to the table service, if one is due. At most one is in flight. */
    std::optional<TableRequest> nextRequest(MonotonicTime now);

    /** Takes in the result of the last request. */
    ClaimOutcome onResult(const TableResult &result, MonotonicTime now);

    /** While true, nobody else can have taken over. */
    bool hasLease(MonotonicTime now) const;

    size_t waiting() const
    {
        return waiting_.size() + inFlight_.size();
    }

    static std::string fenceKey(const std::string &incarnation);
    static std::string claimPrefix(const std::string &incarnation);

    /** The claims of a stored row. Throws Malformed. */
    static std::vector<Claim> parseRow(const Row &row);

private:
    enum class State { Idle, Writing, Unsure, Reading, Deposed };

    struct Written
    {
        int64_t sequence = 0;
        MonotonicTime at;
    };

    void earnCredit(MonotonicTime now);
    TableTransaction makeTransaction(MonotonicTime now);
    ClaimOutcome onWriteResult(const TableResult &result, MonotonicTime now);
    ClaimOutcome onReadBack(const TableResult &result, MonotonicTime now);
    ClaimOutcome commit(int64_t version);
    std::string rowKey(int64_t sequence) const;

    const std::string incarnation_;
    const ClaimTiming timing_;
    State state_ = State::Idle;
    int64_t fenceVersion_;
    int64_t sequence_ = 0; ///< Of the last transaction known to be committed.
    std::vector<Claim> waiting_;
    std::vector<Claim> inFlight_; ///< The claims in unresolved_.
    std::optional<TableTransaction> unresolved_; ///< Written, not known to be committed; repeated unchanged.
    MonotonicTime lastWrite_;
    double credit_; ///< Writes that may go out now; grows by one each pace, up to the burst.
    MonotonicTime creditAt_;
    std::optional<MonotonicTime> firstSentAt_; ///< Of the write that is not known to be committed.
    MonotonicTime renewedAt_; ///< When the last committed write was sent.
    MonotonicTime retryAt_;
    std::deque<Written> written_; ///< Rows to delete when they are past the horizon.
};

} // namespace marjoramferry
