#include "request/capacity_offers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace marjoramferry {

namespace {

/** Number of contested offers over which the share of an entry is measured. */
constexpr size_t ShareWindow = 40;
/** Share of the contested offers that an entry may get beyond its part, since urgency differs between entries. */
constexpr double ExtraShare = 0.1;

/** As much of @p free as the waiting tasks can use. */
Demand usableBy(const Demand &demand, int tasks, Demand free)
{
    Demand sum;
    for (int i = 0; i < tasks && demand.fitsIn(free) && demand != Demand(); ++i) {
        sum = sum + demand;
        free = free - demand;
    }
    return sum;
}

} // namespace

void CapacityOffers::recordWaiting(const std::string &entry,
                                   const std::optional<wire::WaitingWork> &waiting,
                                   MonotonicTime now)
{
    if (!waiting || waiting->tasks <= 0) {
        if (const auto found = waiters_.find(entry); found != waiters_.end()) {
            found->second.tasks = 0; // The count of unused offers is kept.
        }
        endOffer(entry);
        return;
    }
    Waiter &waiter = waiters_[entry];
    waiter.reportedAt = now;
    waiter.urgentAt = now + Milliseconds(waiting->rank);
    waiter.demand = fromWire(waiting->demand);
    waiter.tasks = waiting->tasks;
}

void CapacityOffers::recordOrder(const std::string &entry)
{
    if (const auto found = waiters_.find(entry); found != waiters_.end()) {
        found->second.unusedOffers = 0;
    }
    endOffer(entry);
}

void CapacityOffers::removeEntry(const std::string &entry)
{
    waiters_.erase(entry);
    endOffer(entry);
}

void CapacityOffers::endOffer(const std::string &entry)
{
    if (offer_ && offer_->entry == entry) {
        offer_.reset();
    }
}

void CapacityOffers::update(const Demand &free, MonotonicTime now)
{
    expire(now);
    if (offer_ && !offer_->amount.fitsIn(free)) {
        offer_.reset(); // Another entry has ordered the capacity without an offer.
    }
    if (offer_ || waiters_.empty()) {
        return;
    }
    std::vector<std::string> candidates = findCandidates(free, now);
    if (candidates.empty()) {
        return;
    }
    const bool isContested = candidates.size() > 1;
    const auto permitted = std::ranges::find_if(
        candidates, [&](const std::string &each) { return !isContested || isWithinShare(each, candidates.size()); });
    const std::string &chosen = permitted == candidates.end() ? candidates.front() : *permitted;
    if (isContested) {
        holders_.push_back(chosen);
        if (holders_.size() > ShareWindow) {
            holders_.pop_front();
        }
    }
    const Waiter &waiter = waiters_.at(chosen);
    offer_ = Offer{chosen, usableBy(waiter.demand, waiter.tasks, free), now + OfferValidity};
    logs_.push_back(LogEvent{LogEvent::Level::Info,
                             "capacity_offered",
                             {{"entry", chosen},
                              {"cpu_millis", absl::StrCat(offer_->amount.cpuMillis)},
                              {"free_cpu_millis", absl::StrCat(free.cpuMillis)},
                              {"rank", absl::StrCat(millisecondsBetween(now, waiter.urgentAt))},
                              {"report_age_ms", absl::StrCat(millisecondsBetween(waiter.reportedAt, now))},
                              {"candidates", absl::StrCat(candidates.size())}}});
}

void CapacityOffers::expire(MonotonicTime now)
{
    if (!offer_ || now < offer_->expiresAt) {
        return;
    }
    Waiter &waiter = waiters_[offer_->entry];
    if (waiter.reportedAt <= offer_->expiresAt - OfferValidity) {
        waiter.tasks = 0; // Its tasks have found other workers, or can't use this one.
    }
    if (++waiter.unusedOffers >= MaxUnusedOffers) {
        waiter.unusedOffers = 0;
        waiter.pausedUntil = now + UnusedPause;
        logs_.push_back(LogEvent{LogEvent::Level::Info, "offers_paused", {{"entry", offer_->entry}}});
    }
    offer_.reset();
}

/** The entries whose most urgent task fits, the most urgent one first. */
std::vector<std::string> CapacityOffers::findCandidates(const Demand &free, MonotonicTime now) const
{
    std::vector<std::pair<MonotonicTime, std::string>> byUrgency;
    for (const auto &[entry, waiter] : waiters_) {
        if (waiter.tasks > 0 && now - waiter.reportedAt <= MaxReportAge && now >= waiter.pausedUntil
            && waiter.demand.fitsIn(free)) {
            byUrgency.emplace_back(waiter.urgentAt, entry);
        }
    }
    std::ranges::sort(byUrgency);
    std::vector<std::string> candidates;
    std::ranges::transform(byUrgency, std::back_inserter(candidates), [](auto &each) { return each.second; });
    return candidates;
}

/** Whether one more offer leaves the entry within its share of the contested offers. */
bool CapacityOffers::isWithinShare(const std::string &entry, size_t candidates) const
{
    const auto held = static_cast<double>(std::ranges::count(holders_, entry));
    const double share = 1 / static_cast<double>(candidates) + ExtraShare;
    return held == 0 || held + 1 <= share * static_cast<double>(holders_.size() + 1);
}

Demand CapacityOffers::visibleTo(const std::string &entry, const Demand &free) const
{
    return !offer_ || offer_->entry == entry ? free : free - offer_->amount;
}

bool CapacityOffers::isOfferUnsent(const std::string &entry) const
{
    return offer_ && offer_->entry == entry && !offer_->isSent;
}

void CapacityOffers::markSent(const std::string &entry)
{
    if (offer_ && offer_->entry == entry) {
        offer_->isSent = true;
    }
}

} // namespace marjoramferry
