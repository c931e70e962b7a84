#include "request/claim_log.h"

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

std::string renderClaims(const std::vector<Claim> &claims)
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
    , credit_(timing.burst)
    , creditAt_(renewedAt)
    , renewedAt_(renewedAt)
{
}

void ClaimLog::add(Claim claim)
{
    waiting_.push_back(std::move(claim));
}

std::optional<TableRequest> ClaimLog::nextRequest(MonotonicTime now)
{
    if (state_ == State::Unsure && now >= retryAt_) {
        state_ = State::Reading;
        return TableRead{fenceKey(incarnation_)};
    }
    earnCredit(now);
    if (state_ != State::Idle || credit_ < 1 || now < retryAt_) {
        return std::nullopt;
    }
    const bool renewalDue = now >= lastWrite_ + timing_.renewal;
    if (!unresolved_ && waiting_.empty() && !renewalDue) {
        return std::nullopt;
    }
    state_ = State::Writing;
    credit_ -= 1;
    lastWrite_ = now;
    if (!firstSentAt_) {
        // A repeated write counts from its first sending: that one may be the one that took effect.
        firstSentAt_ = now;
    }
    if (!unresolved_) {
        unresolved_ = makeTransaction(now);
    }
    return *unresolved_;
}

void ClaimLog::earnCredit(MonotonicTime now)
{
    const double earned
        = std::chrono::duration<double>(now - creditAt_) / std::chrono::duration<double>(timing_.writeInterval);
    credit_ = std::min(static_cast<double>(timing_.burst), credit_ + earned);
    creditAt_ = now;
}

TableTransaction ClaimLog::makeTransaction(MonotonicTime now)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(waiting_.size(), MaxClaimsPerWrite));
    inFlight_.assign(waiting_.begin(), waiting_.begin() + count);
    waiting_.erase(waiting_.begin(), waiting_.begin() + count);
    const int64_t next = sequence_ + 1;
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{fenceKey(incarnation_), fenceVersion_});
    transaction.puts.push_back(RowPut{fenceKey(incarnation_), absl::StrCat(next)});
    if (!inFlight_.empty()) {
        transaction.puts.push_back(RowPut{rowKey(next), renderClaims(inFlight_)});
    }
    while (!written_.empty() && written_.front().at + timing_.retention < now
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
    if (state_ == State::Reading) {
        return onReadBack(result, now);
    }
    return std::monostate{};
}

ClaimOutcome ClaimLog::onWriteResult(const TableResult &result, MonotonicTime now)
{
    if (result.outcome == TableOutcome::Done) {
        return commit(result.version);
    }
    // A conflict may be with our own earlier write whose answer was lost: the row itself tells.
    state_ = State::Unsure;
    retryAt_ = result.outcome == TableOutcome::Conflict ? now : now + timing_.retry;
    return std::monostate{};
}

ClaimOutcome ClaimLog::onReadBack(const TableResult &result, MonotonicTime now)
{
    if (result.outcome != TableOutcome::Done) {
        state_ = State::Unsure;
        retryAt_ = now + timing_.retry;
        return std::monostate{};
    }
    if (result.rows.empty()) {
        state_ = State::Deposed;
        return ClaimLogFenced{};
    }
    const Row &fence = result.rows.front();
    if (fence.value == absl::StrCat(sequence_ + 1)) {
        return commit(fence.version);
    }
    // Not in force yet. Writing the very same again is safe: the condition lets only one of the two through.
    state_ = State::Idle;
    return std::monostate{};
}

ClaimOutcome ClaimLog::commit(int64_t version)
{
    state_ = State::Idle;
    unresolved_.reset();
    fenceVersion_ = version;
    ++sequence_;
    renewedAt_ = firstSentAt_.value_or(renewedAt_);
    firstSentAt_.reset();
    if (inFlight_.empty()) {
        return std::monostate{};
    }
    written_.push_back(Written{sequence_, renewedAt_});
    return ClaimsCommitted{std::exchange(inFlight_, {}), version};
}

bool ClaimLog::hasLease(MonotonicTime now) const
{
    return state_ != State::Deposed && now < renewedAt_ + timing_.leaseDuration;
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
        for (const json &entry : parsed) {
            claims.push_back(Claim{entry.at(0).get<std::string>(),
                                   entry.at(1).get<int64_t>(),
                                   entry.at(2).get<int>(),
                                   entry.at(3).get<bool>()});
        }
        return claims;
    } catch (const json::exception &failure) {
        throw Error(ErrorKind::Malformed, row.key, failure.what(), "see docs/OPERATIONS.md, damaged rows");
    }
}

} // namespace marjoramferry
