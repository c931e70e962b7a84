#pragma once

#include "core/time.h"
#include "event/log_event.h"
#include "request/demand.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marjoramferry {

/**
 * Decides which entry is offered the free capacity of the agent's worker while tasks wait at entries.
 *
 * Addresses the load "many entries with scarce capacity": entries that all see the same free capacity order it at the
 * same time, and all orders but one come back. Only the entry with the most urgent waiting task that fits sees it; the
 * others see the rest. An offer ends when the entry sends an order, and after OfferValidity.
 */
class CapacityOffers
{
public:
    /** How long an entry may take to answer an offer with an order. */
    static constexpr Milliseconds OfferValidity{10};
    /** A report of waiting work counts as absent at this age; entries repeat it at least every 150 ms. */
    static constexpr Milliseconds MaxReportAge{300};
    /** An entry that left this many offers unused in a row gets none for UnusedPause. */
    static constexpr int MaxUnusedOffers = 3;
    static constexpr Milliseconds UnusedPause{200};

    /** Records what waits at the entry, or that nothing does. */
    void recordWaiting(const std::string &entry, const std::optional<wire::WaitingWork> &waiting, MonotonicTime now);

    /** Records that the entry sent an order, which ends its offer. */
    void recordOrder(const std::string &entry);

    /** Forgets an entry whose connection was lost. */
    void removeEntry(const std::string &entry);

    /** Ends the offer if it has expired, and makes the next one if a waiting task fits in @p free. */
    void update(const Demand &free, MonotonicTime now);

    /** The free capacity to report to the entry, of @p free. */
    Demand visibleTo(const std::string &entry, const Demand &free) const;

    /** Whether the entry has an offer that was not sent yet. */
    bool isOfferUnsent(const std::string &entry) const;
    void markSent(const std::string &entry);

    std::vector<LogEvent> takeLogs()
    {
        return std::exchange(logs_, {});
    }

private:
    struct Waiter
    {
        MonotonicTime reportedAt;
        MonotonicTime urgentAt; ///< Latest start of the most urgent job, by the agent's clock.
        Demand demand; ///< Of one of its tasks.
        int tasks = 0;
        int unusedOffers = 0; ///< In a row.
        MonotonicTime pausedUntil;
    };

    struct Offer
    {
        std::string entry;
        Demand amount;
        MonotonicTime expiresAt;
        bool isSent = false;
    };

    void endOffer(const std::string &entry);
    void expire(MonotonicTime now);
    std::vector<std::string> findCandidates(const Demand &free, MonotonicTime now) const;
    bool isWithinShare(const std::string &entry, size_t candidates) const;

    std::map<std::string, Waiter> waiters_; ///< By entry.
    std::optional<Offer> offer_;
    std::deque<std::string> holders_; ///< Of the latest contested offers.
    std::vector<LogEvent> logs_;
};

} // namespace marjoramferry
