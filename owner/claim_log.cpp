#include "owner/claim_log.h"

#include "core/error.h"
#include "version/json_fields.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr size_t MaxClaimsPerWrite = 2000;
constexpr size_t MaxDeletesPerWrite = 20;

std::string serializeClaims(const std::vector<Claim> &claims)
{
    json rows = json::array();
    for (const Claim &claim : claims) {
        rows.push_back({claim.jobId, claim.fingerprint, claim.shard, claim.ended});
    }
    return rows.dump();
}

} // namespace

ClaimLog::ClaimLog(std::string incarnation, int64_t fenceVersion, MonotonicTime renewedAt, ClaimTiming timing)
    : incarnation_(std::move(incarnation))
    , timing_(timing)
    , fenceVersion_(fenceVersion)
    , tokens_(timing.maxBurst)
    , refilledAt_(renewedAt)
    , renewedAt_(renewedAt)
{
}

void ClaimLog::add(Claim claim)
{
    pending_.push_back(std::move(claim));
}

std::optional<TableRequest> ClaimLog::nextRequest(MonotonicTime now)
{
    if (state_ == State::ReadBackNeeded && now >= retryAt_) {
        state_ = State::ReadingBack;
        return TableRead{fenceKey(incarnation_)};
    }
    refillTokens(now);
    if (state_ != State::Idle || tokens_ < 1 || now < retryAt_) {
        return std::nullopt;
    }
    const bool isRenewalDue = now >= lastWrite_ + timing_.renewalInterval;
    if (!unconfirmed_ && pending_.empty() && !isRenewalDue) {
        return std::nullopt;
    }
    state_ = State::Writing;
    tokens_ -= 1;
    lastWrite_ = now;
    if (!firstSentAt_) {
        // The lease counts from the first attempt, as that may be the one that was committed.
        firstSentAt_ = now;
    }
    if (!unconfirmed_) {
        unconfirmed_ = makeTransaction(now);
    }
    return *unconfirmed_;
}

void ClaimLog::refillTokens(MonotonicTime now)
{
    const double refill
        = std::chrono::duration<double>(now - refilledAt_) / std::chrono::duration<double>(timing_.writeInterval);
    tokens_ = std::min(static_cast<double>(timing_.maxBurst), tokens_ + refill);
    refilledAt_ = now;
}

TableTransaction ClaimLog::makeTransaction(MonotonicTime now)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(pending_.size(), MaxClaimsPerWrite));
    inFlight_.assign(pending_.begin(), pending_.begin() + count);
    pending_.erase(pending_.begin(), pending_.begin() + count);
    const int64_t next = sequence_ + 1;
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{fenceKey(incarnation_), fenceVersion_});
    transaction.puts.push_back(RowPut{fenceKey(incarnation_), absl::StrCat(next)});
    if (!inFlight_.empty()) {
        transaction.puts.push_back(RowPut{rowKey(next), serializeClaims(inFlight_)});
    }
    while (!written_.empty() && written_.front().sentAt + timing_.retention < now
           && transaction.deletes.size() < MaxDeletesPerWrite) {
        transaction.deletes.push_back(rowKey(written_.front().sequence));
        written_.pop_front();
    }
    return transaction;
}

ClaimOutcome ClaimLog::onResult(const TableResult &result, MonotonicTime now)
{
    if (state_ == State::Writing) {
        return onWriteResult(result, now);
    }
    if (state_ == State::ReadingBack) {
        return onReadBack(result, now);
    }
    return std::monostate{};
}

ClaimOutcome ClaimLog::onWriteResult(const TableResult &result, MonotonicTime now)
{
    if (result.outcome == TableOutcome::Done) {
        return commit(result.version);
    }
    // A conflict can be with our own earlier attempt whose answer was lost; the fence row shows which it is.
    state_ = State::ReadBackNeeded;
    retryAt_ = result.outcome == TableOutcome::Conflict ? now : now + timing_.retryDelay;
    return std::monostate{};
}

ClaimOutcome ClaimLog::onReadBack(const TableResult &result, MonotonicTime now)
{
    if (result.outcome != TableOutcome::Done) {
        state_ = State::ReadBackNeeded;
        retryAt_ = now + timing_.retryDelay;
        return std::monostate{};
    }
    // The read is by prefix, which the keys of other incarnations may share.
    const auto fence = std::ranges::find(result.rows, fenceKey(incarnation_), &Row::key);
    if (fence == result.rows.end()) {
        state_ = State::Fenced;
        return ClaimLogFenced{};
    }
    if (fence->value == absl::StrCat(sequence_ + 1)) {
        return commit(fence->version);
    }
    // Not committed yet. Retrying the same transaction is safe: its condition lets only one attempt commit.
    state_ = State::Idle;
    return std::monostate{};
}

ClaimOutcome ClaimLog::commit(int64_t version)
{
    state_ = State::Idle;
    unconfirmed_.reset();
    fenceVersion_ = version;
    ++sequence_;
    renewedAt_ = firstSentAt_.value_or(renewedAt_);
    firstSentAt_.reset();
    if (inFlight_.empty()) {
        return std::monostate{};
    }
    written_.push_back(WrittenRow{sequence_, renewedAt_});
    return ClaimsCommitted{std::exchange(inFlight_, {}), version};
}

bool ClaimLog::hasLease(MonotonicTime now) const
{
    return state_ != State::Fenced && now < renewedAt_ + timing_.leaseDuration;
}

std::string ClaimLog::fenceKey(const std::string &incarnation)
{
    return rows::FencePrefix + incarnation;
}

std::string ClaimLog::claimPrefix(const std::string &incarnation)
{
    return rows::ClaimPrefix + incarnation + "/";
}

std::string ClaimLog::rowKey(int64_t sequence) const
{
    return claimPrefix(incarnation_) + absl::StrFormat("%012d", sequence);
}

std::vector<Claim> ClaimLog::parseRow(const Row &row)
{
    const json parsed = parseJson(row.value, row.key);
    try {
        std::vector<Claim> claims;
        for (const json &fields : parsed) {
            claims.push_back(Claim{fields.at(0).get<std::string>(),
                                   fields.at(1).get<int64_t>(),
                                   fields.at(2).get<int>(),
                                   fields.at(3).get<bool>()});
        }
        return claims;
    } catch (const json::exception &failure) {
        throw Error(ErrorKind::Malformed, row.key, failure.what(), "see docs/OPERATIONS.md, damaged rows");
    }
}

} // namespace marjoramferry
