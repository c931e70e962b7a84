#include "owner/owner_claims.h"

#include <utility>

namespace marjoramferry {

OwnerClaims::OwnerClaims(ClaimTiming timing)
    : timing_(timing)
{
}

void OwnerClaims::open(const std::string &incarnation, int64_t fenceVersion, MonotonicTime joinSentAt)
{
    if (incarnation_ == incarnation) {
        return;
    }
    incarnation_ = incarnation;
    ++generation_;
    log_.emplace(incarnation, fenceVersion, joinSentAt, timing_);
}

void OwnerClaims::add(Claim claim)
{
    log_->add(std::move(claim));
}

bool OwnerClaims::hasLease(MonotonicTime now) const
{
    return log_->hasLease(now);
}

void OwnerClaims::advance(MonotonicTime now, EntryOutbox &out)
{
    if (!log_) {
        return;
    }
    if (auto request = log_->nextRequest(now)) {
        out.add(TableCall{TableCaller::Claims, generation_, std::move(*request)});
    }
}

ClaimOutcome OwnerClaims::onTableResult(int64_t callId, const TableResult &result, MonotonicTime now, EntryOutbox &out)
{
    if (!log_ || callId != generation_) {
        return std::monostate();
    }
    ClaimOutcome outcome = log_->onResult(result, now);
    if (std::holds_alternative<ClaimLogFenced>(outcome)) {
        out.log(LogEvent::Level::Warning, "owner_fenced", {{"incarnation", incarnation_}});
        log_.reset();
        isFenced_ = true;
    }
    return outcome;
}

bool OwnerClaims::consumeFencedFlag()
{
    return std::exchange(isFenced_, false);
}

} // namespace marjoramferry
