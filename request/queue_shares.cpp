#include "request/queue_shares.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <vector>

namespace marjoramferry {

namespace {

/** Half-life of the averages of offered and dispatched work. */
constexpr Milliseconds RateHalfLife{1000};
/** Length of the average of the load before a shortage, and the interval between its updates. */
constexpr Milliseconds NormalLength{10'000};
constexpr Milliseconds NormalInterval{100};
/** Decisions need measurements over this time. */
constexpr Milliseconds MinMeasuredTime{1000};
/** A queue that offers less than this is inactive and has no equal share. */
constexpr double MinActiveRate = 1e-6;

/** A queue's claim to capacity within its priority. */
struct Claim
{
    std::string queue;
    double offered = 0;
    double normal = 0;
};

/** Weighted max-min fair shares: a claim below its share leaves the rest to the others. */
void divideFairly(std::vector<Claim> claims, double &capacity, std::map<std::string, double> &shares)
{
    const double equalShare = capacity / static_cast<double>(std::max<size_t>(1, claims.size()));
    const auto weightOf = [&](const Claim &each) { return std::max({each.normal, equalShare, MinActiveRate}); };
    while (!claims.empty()) {
        const double weights = std::accumulate(
            claims.begin(), claims.end(), 0.0, [&](double sum, const Claim &each) { return sum + weightOf(each); });
        const double perWeight = capacity / weights;
        const auto satisfied = std::ranges::partition(
            claims, [&](const Claim &each) { return each.offered > perWeight * weightOf(each); });
        const bool areAllShort = satisfied.empty();
        for (const Claim &each : areAllShort ? std::ranges::subrange(claims.begin(), claims.end()) : satisfied) {
            shares[each.queue] = areAllShort ? perWeight * weightOf(each) : each.offered;
        }
        if (areAllShort) {
            capacity = 0;
            return;
        }
        capacity -= std::accumulate(
            satisfied.begin(), satisfied.end(), 0.0, [](double sum, const Claim &each) { return sum + each.offered; });
        capacity = std::max(0.0, capacity);
        claims.erase(satisfied.begin(), satisfied.end());
    }
}

} // namespace

void QueueShares::recordOffered(const std::string &queue, int priority, double work, MonotonicTime now)
{
    const auto [found, isNew]
        = queues_.try_emplace(queue, Queue{priority, now, DecayingCount(RateHalfLife), DecayingCount(RateHalfLife)});
    found->second.priority = priority;
    found->second.offered.add(work, now);
}

void QueueShares::recordDispatched(const std::string &queue, double work, MonotonicTime now)
{
    capacity_.recordDispatched(work);
    if (const auto found = queues_.find(queue); found != queues_.end()) {
        found->second.dispatched.add(work, now);
    }
}

void QueueShares::endPass(bool isWorkWaiting, MonotonicTime now)
{
    if (startedAt_ == MonotonicTime()) {
        startedAt_ = now;
        normalUpdatedAt_ = now;
    }
    capacity_.endPass(isWorkWaiting, now);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - normalUpdatedAt_);
    if (elapsed < NormalInterval) {
        return;
    }
    normalUpdatedAt_ = now;
    if (capacity_.isShort()) {
        return;
    }
    for (auto &[name, queue] : queues_) {
        queue.normalTime = std::min(queue.normalTime + elapsed, NormalLength);
        const double weight = static_cast<double>(elapsed.count()) / static_cast<double>(queue.normalTime.count());
        const double rate = averageRate(queue.dispatched, queue.firstJobAt, now);
        queue.normalRate += (rate - queue.normalRate) * std::min(1.0, weight);
    }
}

bool QueueShares::isMeasured(MonotonicTime now) const
{
    return startedAt_ != MonotonicTime() && now - startedAt_ >= MinMeasuredTime && capacity_.rate() > 0;
}

/** Corrects for the time before @p since, which the decaying count includes as time without work. */
double QueueShares::averageRate(const DecayingCount &work, MonotonicTime since, MonotonicTime now) const
{
    const auto halfLifeMs = static_cast<double>(RateHalfLife.count());
    const double elapsedMs
        = std::max<double>(static_cast<double>(NormalInterval.count()), millisecondsBetween(since, now));
    const double coveredMs = halfLifeMs / std::numbers::ln2 * (1 - std::exp2(-elapsedMs / halfLifeMs));
    return std::max(0.0, work.at(now)) / coveredMs;
}

double QueueShares::offeredRate(const std::string &queue, MonotonicTime now) const
{
    const auto found = queues_.find(queue);
    return found == queues_.end() ? 0 : averageRate(found->second.offered, found->second.firstJobAt, now);
}

double QueueShares::normalRate(const Queue &queue, MonotonicTime now) const
{
    return queue.normalTime < MinMeasuredTime ? averageRate(queue.offered, queue.firstJobAt, now) : queue.normalRate;
}

double QueueShares::normalRate(const std::string &queue, MonotonicTime now) const
{
    const auto found = queues_.find(queue);
    return found == queues_.end() ? 0 : normalRate(found->second, now);
}

double QueueShares::normalRate(MonotonicTime now) const
{
    return std::accumulate(queues_.begin(), queues_.end(), 0.0, [&](double sum, const auto &each) {
        return sum + normalRate(each.second, now);
    });
}

double QueueShares::shareOf(const std::string &queue, MonotonicTime now) const
{
    const std::map<std::string, double> shares = divide(now);
    const auto found = shares.find(queue);
    return std::max(normalRate(queue, now), found == shares.end() ? 0 : found->second);
}

std::map<std::string, double> QueueShares::divide(MonotonicTime now) const
{
    std::map<int, std::vector<Claim>> claims; // By priority.
    for (const auto &[name, queue] : queues_) {
        const double offered = averageRate(queue.offered, queue.firstJobAt, now);
        if (offered >= MinActiveRate) {
            claims[queue.priority].push_back(Claim{name, offered, normalRate(queue, now)});
        }
    }
    std::map<std::string, double> shares;
    double capacity = capacity_.rate();
    for (auto &[priority, each] : claims) {
        divideFairly(std::move(each), capacity, shares);
    }
    return shares;
}

bool QueueShares::isBeyondShare(const std::string &queue, MonotonicTime now) const
{
    return isMeasured(now) && offeredRate(queue, now) > shareOf(queue, now);
}

bool QueueShares::takeShare(const std::string &queue, double work, MonotonicTime now)
{
    const auto found = queues_.find(queue);
    if (found == queues_.end() || !isMeasured(now)) {
        return true;
    }
    const double offered = offeredRate(queue, now);
    const double share = shareOf(queue, now);
    double &credit = found->second.credit;
    if (offered <= share) {
        credit = 0;
        return true;
    }
    // Half a job of debt is allowed, so that rounding favours neither side.
    credit = std::min(credit + work * share / offered, work);
    if (credit < work / 2) {
        return false;
    }
    credit -= work;
    return true;
}

} // namespace marjoramferry
