#pragma once

#include "core/table.h"
#include "core/time.h"
#include "version/catalog.h"
#include "version/freshness.h"
#include "version/ownership_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct ClusterStateTiming
{
    Milliseconds pollInterval{250}; ///< Interval between reads of the head rows.
    Milliseconds maxEvidenceAge{2000}; ///< Evidence of at least this age has expired.
    Milliseconds takeoverTimeout{3000}; ///< An owner whose fence row is unchanged for this long is replaced.
    Milliseconds maxPollGap{1500}; ///< After a longer gap between polls, all takeover timeouts restart.
    int64_t predecessorRetentionMs = 1'200'000; ///< Wall time; at least twice the retention of claims.
    size_t maxOwners = 4;
};

/** This entry's incarnation and its details as a shard owner. */
struct LocalOwner
{
    std::string incarnation;
    Owner owner;
};

/** Kind of a call to the table service, to match results with requests. */
enum class ClusterStateCall { Poll, Catalog, OwnershipMap, OwnershipChange };

struct ClusterStateRequest
{
    ClusterStateCall call = ClusterStateCall::Poll;
    TableRequest request;
};

/** Content of the head row of the current release note. */
struct NoteHead
{
    int64_t version = 0; ///< Version of the note.
    int64_t rowVersion = 0; ///< Version of the row; zero if it doesn't exist.
    std::string nonce; ///< Identifies the publication that wrote it.

    auto operator<=>(const NoteHead &) const = default;

    std::string toJson() const;

    /** Throws Malformed. */
    static NoteHead fromRow(const Row &row);
};

/**
 * Tracks the catalog and the ownership map by polling a few small head rows, and proposes ownership
 * changes: joining, taking over from an owner that stopped renewing, and moving shards.
 *
 * Versions never decrease: results of an outdated read are ignored.
 */
class ClusterStateTracker
{
public:
    ClusterStateTracker(LocalOwner localOwner, ClusterStateTiming timing);

    /** Returns the calls that are due. At most one call of each kind is in flight. */
    std::vector<ClusterStateRequest> dueRequests(MonotonicTime now, int64_t wallMs);

    /**
     * Handles the result of a call. Throws Malformed if a row is damaged; the catalog and the
     * ownership map are then unchanged.
     */
    void onResult(ClusterStateCall call, const TableResult &result, MonotonicTime now);

    /** Makes the next poll due immediately. */
    void requestPoll()
    {
        nextPollAt_ = MonotonicTime{};
    }

    /** Proposes to move @p shards to @p newOwner. The move has happened once a later poll shows it. */
    void proposeMoves(const std::vector<int> &shards, const std::string &newOwner);

    /** Proposes to mark this owner as leaving, so that no more shards are moved to it. */
    void proposeDrain();

    /** Proposes to remove this owner and its fence row. Its remaining shards become unowned. */
    void proposeRemoval();

    /** Switches to a new incarnation after the current one was fenced. */
    void setLocalOwner(LocalOwner localOwner);

    bool isFresh(MonotonicTime now) const
    {
        return freshness_.isFresh(now);
    }

    const Freshness &freshness() const
    {
        return freshness_;
    }

    const Catalog &catalog() const
    {
        return catalog_;
    }

    const NoteHead &noteHead() const
    {
        return noteHead_;
    }

    const OwnershipMap &ownership() const
    {
        return ownership_;
    }

    /** Version of the ownership row; zero if none has been read. */
    int64_t ownershipVersion() const
    {
        return ownershipVersion_;
    }

    const LocalOwner &localOwner() const
    {
        return localOwner_;
    }

    /** Version of this incarnation's fence row as of the last poll; zero if it doesn't exist. */
    int64_t localFenceVersion() const;

    /** When the transaction that made this incarnation an owner was first sent. */
    std::optional<MonotonicTime> joinSentAt() const
    {
        return joinSentAt_;
    }

private:
    struct ObservedFence
    {
        int64_t version = 0;
        MonotonicTime since; ///< First poll that showed this version, without a gap in the polls since.
    };

    void onPoll(const TableResult &result, MonotonicTime now);
    void onCatalog(const TableResult &result);
    void onOwnershipMap(const TableResult &result);
    void updateOwnership(const Row &row);
    void updateFences(const std::map<std::string, int64_t> &fences, MonotonicTime now);
    std::optional<TableTransaction> ownershipChange(MonotonicTime now, int64_t wallMs);
    std::optional<TableTransaction> joinOrTakeOver(MonotonicTime now, int64_t wallMs);
    std::optional<std::string> findExpiredOwner(MonotonicTime now) const;
    TableTransaction makeTransaction(const OwnershipMap &next) const;

    LocalOwner localOwner_;
    const ClusterStateTiming timing_;
    Freshness freshness_;
    Catalog catalog_;
    NoteHead noteHead_;
    std::optional<NoteHead> pendingHead_; ///< A newer head whose catalog has not been read yet.
    MonotonicTime pendingHeadAt_; ///< When the poll that returned it was sent.
    int64_t newestOwnershipVersion_ = 0; ///< Highest version of the ownership head row in any poll.
    bool readingOwnership_ = false;
    OwnershipMap ownership_;
    int64_t ownershipVersion_ = 0;
    std::map<std::string, ObservedFence> fences_; ///< By incarnation.
    MonotonicTime nextPollAt_;
    MonotonicTime pollSentAt_;
    std::optional<MonotonicTime> lastPollAt_;
    bool polling_ = false;
    bool readingCatalog_ = false;
    bool changingOwnership_ = false;
    MonotonicTime nextChangeAt_;
    std::map<int, std::string> moves_; ///< Proposed new owners, by shard.
    bool drainProposed_ = false; ///< See proposeDrain().
    bool removalProposed_ = false; ///< See proposeRemoval().
    std::optional<MonotonicTime> joinSentAt_;
};

} // namespace marjoramferry
