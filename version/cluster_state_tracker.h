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
    Milliseconds pollInterval{250}; ///< Pace of reading the head rows.
    Milliseconds maxEvidenceAge{2000}; ///< Evidence older than this does not count.
    Milliseconds takeoverTimeout{3000}; ///< An owner that renewed nothing for so long is replaced.
    Milliseconds largestPollGap{1500}; ///< After a longer gap an owner's silence counts anew.
    int64_t predecessorRetentionMs = 1'200'000; ///< Wall time; at least twice the horizon of claims.
    size_t maxOwners = 4;
};

/** This entry as an owner. */
struct LocalOwner
{
    std::string incarnation;
    Owner owner;
};

/** What kind of call to the table service the keeper made. */
enum class ClusterStateCall { Poll, Catalog, OwnershipMap, OwnershipChange };

struct ClusterStateRequest
{
    ClusterStateCall call = ClusterStateCall::Poll;
    TableRequest request;
};

/** What a read of the head rows said of the note in force. */
struct NoteHead
{
    int64_t version = 0; ///< Of the note.
    int64_t rowVersion = 0; ///< Of the row; zero when there is none.
    std::string nonce; ///< Names the publication that wrote it.

    auto operator<=>(const NoteHead &) const = default;

    std::string toJson() const;

    /** Throws Malformed. */
    static NoteHead fromRow(const Row &row);
};

/**
 * Keeps the catalog and the ownership map current by reading a few small rows at a fixed pace, and
 * proposes changes of ownership: to join, to replace a silent owner, to hand shards over.
 *
 * Versions only go up: what a lagging read brings is ignored.
 */
class ClusterStateTracker
{
public:
    ClusterStateTracker(LocalOwner self, ClusterStateTiming timing);

    /** The calls that are due now. At most one of each kind is in flight. */
    std::vector<ClusterStateRequest> dueRequests(MonotonicTime now, int64_t wallMs);

    /** Takes in the result of a call. Throws Malformed when a row is damaged; nothing is changed then. */
    void onResult(ClusterStateCall call, const TableResult &result, MonotonicTime now);

    /** Makes the next poll due at once. */
    void requestPoll()
    {
        nextPoll_ = MonotonicTime{};
    }

    /** Proposes that @p index goes to @p heir. It takes effect if a later poll shows it. */
    void proposeMoves(const std::vector<int> &shards, const std::string &heir);

    /** Proposes to be marked as leaving, so that nothing is handed to this owner any more. */
    void proposeDrain();

    /** Proposes to leave: the shards left go to nobody, and the fence row is removed. */
    void proposeRemoval();

    /** Takes a new incarnation after this one was deposed. */
    void setLocalOwner(LocalOwner self);

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

    /** Version of the ownership row; zero when there is none. */
    int64_t ownershipVersion() const
    {
        return ownershipVersion_;
    }

    const LocalOwner &localOwner() const
    {
        return self_;
    }

    /** Version of this incarnation's fence row as last read; zero when there is none. */
    int64_t localFenceVersion() const;

    /** When the transaction that made this incarnation an owner was first sent. */
    std::optional<MonotonicTime> joinSentAt() const
    {
        return joinSentAt_;
    }

private:
    struct FenceSeen
    {
        int64_t version = 0;
        MonotonicTime since; ///< Unchanged from here on, without a gap in the polls.
    };

    void onPoll(const TableResult &result, MonotonicTime now);
    void onCatalog(const TableResult &result);
    void onOwnershipMap(const TableResult &result);
    void adoptOwnership(const Row &row);
    void noteFences(const std::map<std::string, int64_t> &fences, MonotonicTime now);
    std::optional<TableTransaction> ownershipChange(MonotonicTime now, int64_t wallMs);
    std::optional<TableTransaction> joinOrTakeOver(MonotonicTime now, int64_t wallMs);
    std::optional<std::string> silentOwner(MonotonicTime now) const;
    TableTransaction transactionFor(const OwnershipMap &next) const;

    LocalOwner self_;
    const ClusterStateTiming timing_;
    Freshness freshness_;
    Catalog catalog_;
    NoteHead noteHead_;
    std::optional<NoteHead> wantedHead_; ///< Seen, its catalog not read yet.
    MonotonicTime wantedHeadAt_;
    int64_t wantedOwnership_ = 0; ///< Version of the newest head seen.
    bool readingOwnership_ = false;
    OwnershipMap ownership_;
    int64_t ownershipVersion_ = 0;
    std::map<std::string, FenceSeen> fences_; ///< By incarnation.
    MonotonicTime nextPoll_;
    MonotonicTime pollSentAt_;
    std::optional<MonotonicTime> lastPollDone_;
    bool polling_ = false;
    bool readingCatalog_ = false;
    bool changingOwnership_ = false;
    MonotonicTime nextChange_;
    std::map<int, std::string> moves_; ///< Proposed heirs, by shard.
    bool drains_ = false; ///< Wants to be marked as leaving.
    bool leaving_ = false; ///< Wants to be no owner any more.
    std::optional<MonotonicTime> joinSentAt_;
};

} // namespace marjoramferry
