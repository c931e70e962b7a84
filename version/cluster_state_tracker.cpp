#include "version/cluster_state_tracker.h"

#include "core/error.h"
#include "version/json_fields.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr Milliseconds ChangeRetryDelay{200};

std::string fenceKey(const std::string &incarnation)
{
    return rows::FencePrefix + incarnation;
}

} // namespace

std::string NoteHead::toJson() const
{
    return json{{"version", version}, {"nonce", nonce}}.dump();
}

NoteHead NoteHead::fromRow(const Row &row)
{
    const json parsed = parseJson(row.value, row.key);
    try {
        return NoteHead{parsed.at("version").get<int64_t>(), row.version, parsed.at("nonce").get<std::string>()};
    } catch (const json::exception &failure) {
        throw Error(ErrorKind::Malformed, row.key, failure.what(), "see docs/OPERATIONS.md, damaged rows");
    }
}

ClusterStateTracker::ClusterStateTracker(LocalOwner localOwner, ClusterStateTiming timing)
    : localOwner_(std::move(localOwner))
    , timing_(timing)
    , freshness_(timing.maxEvidenceAge)
{
}

void ClusterStateTracker::setLocalOwner(LocalOwner localOwner)
{
    localOwner_ = std::move(localOwner);
    joinSentAt_.reset();
    moves_.clear();
}

std::vector<ClusterStateRequest> ClusterStateTracker::dueRequests(MonotonicTime now, int64_t wallMs)
{
    std::vector<ClusterStateRequest> due;
    if (!polling_ && now >= nextPollAt_) {
        polling_ = true;
        pollSentAt_ = now;
        nextPollAt_ = now + timing_.pollInterval;
        due.push_back(ClusterStateRequest{ClusterStateCall::Poll, TableRead{rows::HeadPrefix}});
    }
    if (pendingHead_ && !readingCatalog_) {
        readingCatalog_ = true;
        due.push_back(ClusterStateRequest{ClusterStateCall::Catalog, TableRead{Catalog::keyOf(pendingHead_->version)}});
    }
    if (newestOwnershipVersion_ > ownershipVersion_ && !readingOwnership_) {
        readingOwnership_ = true;
        due.push_back(ClusterStateRequest{ClusterStateCall::OwnershipMap, TableRead{rows::OwnershipMap}});
    }
    if (!changingOwnership_ && lastPollAt_ && now >= nextChangeAt_) {
        if (auto change = ownershipChange(now, wallMs)) {
            changingOwnership_ = true;
            nextChangeAt_ = now + ChangeRetryDelay;
            due.push_back(ClusterStateRequest{ClusterStateCall::OwnershipChange, std::move(*change)});
        }
    }
    return due;
}

void ClusterStateTracker::onResult(ClusterStateCall call, const TableResult &result, MonotonicTime now)
{
    switch (call) {
    case ClusterStateCall::Poll:
        polling_ = false;
        if (result.outcome == TableOutcome::Done) {
            onPoll(result, now);
        }
        return;
    case ClusterStateCall::Catalog:
        readingCatalog_ = false;
        if (result.outcome == TableOutcome::Done) {
            onCatalog(result);
        }
        return;
    case ClusterStateCall::OwnershipMap:
        readingOwnership_ = false;
        if (result.outcome == TableOutcome::Done) {
            onOwnershipMap(result);
        }
        return;
    case ClusterStateCall::OwnershipChange:
        // The outcome of the transaction is ignored; only the next poll shows whether it was committed.
        changingOwnership_ = false;
        requestPoll();
        return;
    }
}

void ClusterStateTracker::onPoll(const TableResult &result, MonotonicTime now)
{
    NoteHead head;
    std::map<std::string, int64_t> fences;
    for (const Row &row : result.rows) {
        if (row.key == rows::NoteHead) {
            head = NoteHead::fromRow(row);
        } else if (row.key == rows::OwnershipHead) {
            newestOwnershipVersion_ = std::max(newestOwnershipVersion_, row.version);
        } else if (row.key.starts_with(rows::FencePrefix)) {
            fences[row.key.substr(std::string_view(rows::FencePrefix).size())] = row.version;
        }
    }
    updateFences(fences, now);
    lastPollAt_ = now;
    if (head.version == catalog_.version) {
        noteHead_ = head;
        freshness_.confirm(head.version, pollSentAt_);
    } else if (head.version > catalog_.version) {
        pendingHead_ = head;
        pendingHeadAt_ = pollSentAt_;
    }
}

void ClusterStateTracker::onCatalog(const TableResult &result)
{
    if (!pendingHead_) {
        return;
    }
    const std::string key = Catalog::keyOf(pendingHead_->version);
    const auto row = std::ranges::find(result.rows, key, &Row::key);
    const NoteHead head = *std::exchange(pendingHead_, std::nullopt);
    if (row == result.rows.end()) {
        return;
    }
    Catalog next = Catalog::fromJson(row->value);
    if (next.version <= catalog_.version) {
        return;
    }
    catalog_ = std::move(next);
    noteHead_ = head;
    freshness_.confirm(head.version, pendingHeadAt_);
}

void ClusterStateTracker::onOwnershipMap(const TableResult &result)
{
    const auto row = std::ranges::find(result.rows, std::string(rows::OwnershipMap), &Row::key);
    if (row != result.rows.end()) {
        updateOwnership(*row);
    }
}

void ClusterStateTracker::updateOwnership(const Row &row)
{
    if (row.version <= ownershipVersion_) {
        return;
    }
    ownership_ = OwnershipMap::fromJson(row.value);
    ownershipVersion_ = row.version;
    // The moves were proposed against the previous map; the owner accepts new jobs in those shards again.
    moves_.clear();
}

void ClusterStateTracker::updateFences(const std::map<std::string, int64_t> &fences, MonotonicTime now)
{
    const bool hadGap = !lastPollAt_ || now - *lastPollAt_ > timing_.maxPollGap;
    std::map<std::string, ObservedFence> next;
    for (const auto &[incarnation, version] : fences) {
        const auto known = fences_.find(incarnation);
        const bool isUnchanged = known != fences_.end() && known->second.version == version && !hadGap;
        next[incarnation] = ObservedFence{version, isUnchanged ? known->second.since : now};
    }
    fences_ = std::move(next);
}

int64_t ClusterStateTracker::localFenceVersion() const
{
    const auto found = fences_.find(localOwner_.incarnation);
    return found == fences_.end() ? 0 : found->second.version;
}

void ClusterStateTracker::proposeMoves(const std::vector<int> &shards, const std::string &newOwner)
{
    for (const int shard : shards) {
        moves_[shard] = newOwner;
    }
}

void ClusterStateTracker::proposeDrain()
{
    drainProposed_ = true;
}

void ClusterStateTracker::proposeRemoval()
{
    removalProposed_ = true;
}

std::optional<TableTransaction> ClusterStateTracker::ownershipChange(MonotonicTime now, int64_t wallMs)
{
    const auto self = ownership_.owners().find(localOwner_.incarnation);
    const bool isOwner = self != ownership_.owners().end();
    if (drainProposed_ && isOwner && !self->second.leaving) {
        return makeTransaction(ownership_.withLeaving(localOwner_.incarnation));
    }
    if (!moves_.empty() && isOwner) {
        OwnershipMap next = ownership_;
        for (const auto &[shard, newOwner] : moves_) {
            if (next.shard(shard).owner == localOwner_.incarnation && next.owners().contains(newOwner)) {
                next = next.withShardMoved(shard, newOwner, wallMs);
            }
        }
        moves_.clear();
        return next == ownership_ ? std::nullopt : std::optional(makeTransaction(next));
    }
    if (removalProposed_) {
        if (!isOwner) {
            return std::nullopt;
        }
        TableTransaction transaction = makeTransaction(ownership_.withoutOwner(localOwner_.incarnation, "", wallMs));
        transaction.deletes.push_back(fenceKey(localOwner_.incarnation));
        return transaction;
    }
    if (drainProposed_ && !isOwner) {
        return std::nullopt;
    }
    return joinOrTakeOver(now, wallMs);
}

std::optional<TableTransaction> ClusterStateTracker::joinOrTakeOver(MonotonicTime now, int64_t wallMs)
{
    const bool isOwner = ownership_.owners().contains(localOwner_.incarnation);
    const auto expired = findExpiredOwner(now);
    const bool isBelowMaxOwners = ownership_.owners().size() < timing_.maxOwners;
    if (!expired && (isOwner || !isBelowMaxOwners)) {
        return std::nullopt;
    }
    OwnershipMap next = ownership_.withPredecessorsPruned(wallMs - timing_.predecessorRetentionMs);
    if (expired) {
        next = next.withoutOwner(*expired, isOwner ? localOwner_.incarnation : std::string(), wallMs);
    }
    if (!isOwner) {
        next = next.withOwner(localOwner_.incarnation, localOwner_.owner, wallMs);
    }
    TableTransaction transaction = makeTransaction(next);
    if (!isOwner) {
        transaction.conditions.push_back(RowCondition{fenceKey(localOwner_.incarnation), 0});
        transaction.puts.push_back(RowPut{fenceKey(localOwner_.incarnation), "0"});
        joinSentAt_ = joinSentAt_.value_or(now);
    }
    if (expired) {
        const auto fence = fences_.find(*expired);
        const int64_t version = fence == fences_.end() ? 0 : fence->second.version;
        transaction.conditions.push_back(RowCondition{fenceKey(*expired), version});
        transaction.deletes.push_back(fenceKey(*expired));
    }
    return transaction;
}

std::optional<std::string> ClusterStateTracker::findExpiredOwner(MonotonicTime now) const
{
    const auto isExpired = [&](const std::string &incarnation) {
        if (incarnation == localOwner_.incarnation) {
            return false;
        }
        const auto fence = fences_.find(incarnation);
        return fence == fences_.end() || now - fence->second.since >= timing_.takeoverTimeout;
    };
    const auto names = ownership_.owners() | std::views::keys;
    const auto found = std::ranges::find_if(names, isExpired);
    return found == names.end() ? std::nullopt : std::optional<std::string>(*found);
}

TableTransaction ClusterStateTracker::makeTransaction(const OwnershipMap &next) const
{
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{rows::OwnershipHead, ownershipVersion_});
    transaction.puts.push_back(RowPut{rows::OwnershipHead, "{}"});
    transaction.puts.push_back(RowPut{rows::OwnershipMap, next.toJson()});
    return transaction;
}

} // namespace marjoramferry
