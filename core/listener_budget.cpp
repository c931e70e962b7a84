#include "core/listener_budget.h"

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** A client that sends less than this lags. */
constexpr double MinBytesPerSecond = 64.0 * 1024;
/** Keeps clients that have just connected, or wait for a slow link, from evicting each other in turn. */
constexpr Milliseconds MinEvictionLag{500};
/** Requests above this size leave a share of the memory to the others. */
constexpr size_t SmallRequestBytes = size_t{64} << 10U;
constexpr size_t LargeRequestShare = 3; ///< In quarters of the memory.
constexpr size_t PendingCallShare = 3; ///< In quarters of the connections.
constexpr size_t Quarters = 4;
constexpr size_t ClosingShare = 8; ///< One in so many connections may be one that is being closed.

} // namespace

ListenerBudget::ListenerBudget(ListenerLimits limits)
    : limits_(limits)
{
}

size_t ListenerBudget::maxOpenConnections() const
{
    return limits_.connections - limits_.connections / ClosingShare;
}

size_t ListenerBudget::maxPendingCalls() const
{
    return std::max<size_t>(1, limits_.connections * PendingCallShare / Quarters);
}

size_t ListenerBudget::memoryLimitFor(size_t bytes) const
{
    const size_t memory = limits_.requestMemoryBytes();
    return bytes <= SmallRequestBytes ? memory : memory * LargeRequestShare / Quarters;
}

MonotonicTime::duration ListenerBudget::lagOf(const Connection &connection, MonotonicTime now)
{
    const bool waitsForClient
        = connection.phase != ConnectionPhase::Processing && connection.phase != ConnectionPhase::Closing;
    return waitsForClient ? connection.lag + (now - connection.lagMeasuredAt) : MonotonicTime::duration(0);
}

bool ListenerBudget::hasExpired(const Connection &connection, MonotonicTime now) const
{
    const auto elapsed = now - connection.phaseSince;
    switch (connection.phase) {
    case ConnectionPhase::Idle:
        return elapsed >= limits_.idleTimeout;
    case ConnectionPhase::Receiving:
    case ConnectionPhase::Sending:
        return elapsed >= limits_.transferTimeout;
    case ConnectionPhase::Processing:
    case ConnectionPhase::Closing:
        return false;
    }
    return false;
}

void ListenerBudget::enterPhase(Connection &connection, ConnectionPhase phase, MonotonicTime now)
{
    usage_.pendingCalls -= connection.phase == ConnectionPhase::Processing ? 1 : 0;
    usage_.pendingCalls += phase == ConnectionPhase::Processing ? 1 : 0;
    connection.phase = phase;
    connection.phaseSince = now;
    connection.lagMeasuredAt = now;
    connection.lag = MonotonicTime::duration(0);
}

void ListenerBudget::setBytes(Connection &connection, size_t bytes)
{
    usage_.requestBytes = usage_.requestBytes - connection.bytes + bytes;
    connection.bytes = bytes;
}

ClosedConnection ListenerBudget::beginClosing(Connections::value_type &entry, MonotonicTime now)
{
    auto &[id, connection] = entry;
    const ClosedConnection closed{id, connection.phase};
    enterPhase(connection, ConnectionPhase::Closing, now);
    ++closing_;
    return closed;
}

/** Returns the connections that may be evicted, those with the longest lag first. */
template<typename Predicate>
std::vector<ListenerBudget::Connections::value_type *> ListenerBudget::findEvictable(Predicate isCandidate,
                                                                                     MonotonicTime now)
{
    std::vector<Connections::value_type *> evictable;
    for (Connections::value_type &entry : connections_) {
        if (isCandidate(entry.second) && lagOf(entry.second, now) >= MinEvictionLag) {
            evictable.push_back(&entry);
        }
    }
    std::ranges::sort(evictable, [now](const auto *left, const auto *right) {
        return std::pair(lagOf(right->second, now), left->first) < std::pair(lagOf(left->second, now), right->first);
    });
    return evictable;
}

/** Returns connections in @p phase, other than @p id, that hold @p needed bytes together; none if there are too few. */
std::vector<ListenerBudget::Connections::value_type *>
ListenerBudget::selectEvictions(ConnectionId id, ConnectionPhase phase, size_t needed, MonotonicTime now)
{
    auto selected
        = findEvictable([phase](const Connection &each) { return each.phase == phase && each.bytes > 0; }, now);
    std::erase_if(selected, [id](const auto *each) { return each->first == id; });
    size_t freed = 0;
    const auto end = std::ranges::find_if(selected, [&](const auto *each) {
        const bool isEnough = freed >= needed;
        freed += each->second.bytes;
        return isEnough;
    });
    if (freed < needed) {
        return {};
    }
    selected.erase(end, selected.end());
    return selected;
}

/** Evicts connections until the connection @p id can hold @p bytes. Evicts none if that would not suffice. */
bool ListenerBudget::makeRoom(ConnectionId id, size_t bytes, std::vector<ClosedConnection> &evicted, MonotonicTime now)
{
    const size_t total = usage_.requestBytes - connections_[id].bytes + bytes;
    const size_t limit = memoryLimitFor(bytes);
    if (total <= limit) {
        return true;
    }
    const auto selected = selectEvictions(id, ConnectionPhase::Receiving, total - limit, now);
    for (Connections::value_type *each : selected) {
        evicted.push_back(beginClosing(*each, now));
        ++usage_.evictedConnections;
        setBytes(each->second, 0);
    }
    return !selected.empty();
}

AdmissionDecision ListenerBudget::open(ConnectionId id, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    AdmissionDecision decision;
    if (connections_.size() >= limits_.connections) {
        decision.outcome = AdmissionOutcome::Refused;
    } else if (connections_.size() - closing_ >= maxOpenConnections()) {
        const auto evictable = findEvictable([](const Connection &) { return true; }, now);
        if (evictable.empty()) {
            decision.outcome = AdmissionOutcome::Refused;
        } else {
            decision.evicted.push_back(beginClosing(*evictable.front(), now));
            ++usage_.evictedConnections;
        }
    }
    Connection &connection = connections_[id];
    enterPhase(connection, ConnectionPhase::Idle, now);
    if (decision.outcome != AdmissionOutcome::Admitted) {
        ++usage_.refusedConnections;
        enterPhase(connection, ConnectionPhase::Closing, now);
        ++closing_;
    }
    return decision;
}

void ListenerBudget::close(ConnectionId id)
{
    absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    setBytes(found->second, 0);
    usage_.pendingCalls -= found->second.phase == ConnectionPhase::Processing ? 1 : 0;
    closing_ -= found->second.phase == ConnectionPhase::Closing ? 1 : 0;
    connections_.erase(found);
}

AdmissionDecision ListenerBudget::resizeLocked(ConnectionId id, size_t bytes, MonotonicTime now)
{
    AdmissionDecision decision;
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.phase == ConnectionPhase::Closing) {
        decision.outcome = AdmissionOutcome::Refused;
        return decision;
    }
    const bool isShrinking = bytes <= found->second.bytes;
    if (!isShrinking && bytes > memoryLimitFor(bytes)) {
        ++usage_.tooLargeRequests;
        decision.outcome = AdmissionOutcome::TooLarge;
    } else if (isShrinking || makeRoom(id, bytes, decision.evicted, now)) {
        setBytes(found->second, bytes);
    } else {
        ++usage_.refusedRequests;
        decision.outcome = AdmissionOutcome::Refused;
    }
    return decision;
}

AdmissionDecision ListenerBudget::beginRequest(ConnectionId id, size_t bytes, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    AdmissionDecision decision = resizeLocked(id, bytes, now);
    if (decision.outcome == AdmissionOutcome::Admitted) {
        enterPhase(connections_[id], ConnectionPhase::Receiving, now);
    }
    return decision;
}

void ListenerBudget::recordTooLarge()
{
    absl::MutexLock lock(&mutex_);
    ++usage_.tooLargeRequests;
}

AdmissionDecision ListenerBudget::resize(ConnectionId id, size_t bytes, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    return resizeLocked(id, bytes, now);
}

void ListenerBudget::recordProgress(ConnectionId id, size_t bytes, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    Connection &connection = found->second;
    const std::chrono::duration<double> worth(static_cast<double>(bytes) / MinBytesPerSecond);
    const auto lag = lagOf(connection, now) - std::chrono::duration_cast<MonotonicTime::duration>(worth);
    connection.lag = std::max(lag, MonotonicTime::duration(0));
    connection.lagMeasuredAt = now;
}

AdmissionOutcome ListenerBudget::beginCall(ConnectionId id, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(id);
    const bool isOpen = found != connections_.end() && found->second.phase != ConnectionPhase::Closing;
    if (!isOpen || usage_.pendingCalls >= maxPendingCalls()) {
        ++usage_.refusedRequests;
        return AdmissionOutcome::Refused;
    }
    enterPhase(found->second, ConnectionPhase::Processing, now);
    return AdmissionOutcome::Admitted;
}

AdmissionDecision ListenerBudget::beginResponse(ConnectionId id, size_t bytes, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    AdmissionDecision decision;
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.phase == ConnectionPhase::Closing) {
        decision.outcome = AdmissionOutcome::Refused;
        return decision;
    }
    enterPhase(found->second, ConnectionPhase::Sending, now);
    setBytes(found->second, 0);
    const size_t total = usage_.requestBytes + bytes;
    if (total <= limits_.requestMemoryBytes()) {
        setBytes(found->second, bytes);
        return decision;
    }
    decision.outcome = AdmissionOutcome::Refused;
    ++usage_.refusedRequests;
    for (Connections::value_type *each :
         selectEvictions(id, ConnectionPhase::Sending, total - limits_.requestMemoryBytes(), now)) {
        decision.evicted.push_back(beginClosing(*each, now));
        ++usage_.evictedConnections;
    }
    return decision;
}

void ListenerBudget::endExchange(ConnectionId id, MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    setBytes(found->second, 0);
    if (found->second.phase != ConnectionPhase::Closing) {
        enterPhase(found->second, ConnectionPhase::Idle, now);
    }
}

std::vector<ClosedConnection> ListenerBudget::takeExpired(MonotonicTime now)
{
    absl::MutexLock lock(&mutex_);
    std::vector<ClosedConnection> expired;
    for (Connections::value_type &entry : connections_) {
        if (hasExpired(entry.second, now)) {
            expired.push_back(beginClosing(entry, now));
            ++usage_.expiredConnections;
        }
    }
    return expired;
}

ListenerUsage ListenerBudget::usage() const
{
    absl::MutexLock lock(&mutex_);
    ListenerUsage usage = usage_;
    usage.connections = connections_.size();
    return usage;
}

} // namespace marjoramferry
