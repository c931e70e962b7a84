#pragma once

#include "core/time.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace marjoramferry {

/** Identifies a connection of a client within its listener. */
using ConnectionId = uint64_t;

/** What the clients of one listener may hold together, and for how long. */
struct ListenerLimits
{
    size_t memoryBytes = size_t{256} << 20U; ///< Sum over all connections.
    size_t connections = 4000; ///< Includes those that are being closed.
    size_t bytesPerConnection = size_t{36} << 10U; ///< Reserved for each connection, beside its request or response.
    Milliseconds idleTimeout{60'000}; ///< From the accept or the last response until the next header is complete.
    Milliseconds transferTimeout{30'000}; ///< From a header to the end of its body, and for reading a response.

    auto operator<=>(const ListenerLimits &) const = default;

    /** For the requests and responses of all connections. */
    size_t requestMemoryBytes() const
    {
        const size_t reserved = connections * bytesPerConnection;
        return memoryBytes > reserved ? memoryBytes - reserved : 0;
    }
};

/** What a connection is waiting for. */
enum class ConnectionPhase {
    Idle, ///< The header of a request.
    Receiving, ///< The body of a request.
    Processing, ///< This process's response.
    Sending, ///< The client, which must read the response.
    Closing, ///< Its end; it was evicted or has expired.
};

/** A connection that must be closed. */
struct ClosedConnection
{
    ConnectionId id = 0;
    ConnectionPhase phase = ConnectionPhase::Idle; ///< Before it was closed.

    auto operator<=>(const ClosedConnection &) const = default;
};

enum class AdmissionOutcome {
    Admitted,
    Refused, ///< There is no room now; a later attempt may be admitted.
    TooLarge, ///< It would not fit even if there were no other clients.
};

struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Admitted;
    std::vector<ClosedConnection> evicted; ///< To be closed. What they have received must be freed first.

    auto operator<=>(const AdmissionDecision &) const = default;
};

/** Use of a listener, and how often its limits were applied since the start of the process. */
struct ListenerUsage
{
    size_t connections = 0;
    size_t requestBytes = 0; ///< Held by requests and responses.
    size_t pendingCalls = 0; ///< Connections in ConnectionPhase::Processing.
    uint64_t refusedConnections = 0;
    uint64_t refusedRequests = 0;
    uint64_t tooLargeRequests = 0;
    uint64_t evictedConnections = 0;
    uint64_t expiredConnections = 0;

    auto operator<=>(const ListenerUsage &) const = default;
};

/**
 * Decides which clients of a listener are admitted, refused and closed, so that together they never hold more than its
 * limits. Performs no I/O. Thread-safe.
 *
 * If a limit is reached, the connection that lags most is evicted for the newcomer. The lag is the time for which a
 * connection has kept this process waiting, less what its bytes take at a minimum rate. A client whose lag is short is
 * not evicted, and neither is one that waits for this process; the newcomer is refused instead.
 */
class ListenerBudget
{
public:
    explicit ListenerBudget(ListenerLimits limits);

    /** Admits a new connection. One that is refused must be closed too, and counts until then. */
    AdmissionDecision open(ConnectionId id, MonotonicTime now);
    void close(ConnectionId id);

    /** A header is complete. @p bytes is the announced size of the body, or 0 if it has none or the size is unknown. */
    AdmissionDecision beginRequest(ConnectionId id, size_t bytes, MonotonicTime now);

    /** A body was refused for the limit of a single one. */
    void recordTooLarge();

    /** The request takes @p bytes in total from now on. */
    AdmissionDecision resize(ConnectionId id, size_t bytes, MonotonicTime now);

    void recordProgress(ConnectionId id, size_t bytes, MonotonicTime now);

    /** The request is complete, and the client waits for the response. Refused if too many do so. */
    AdmissionOutcome beginCall(ConnectionId id, MonotonicTime now);

    /**
     * A response that takes @p bytes is ready; it replaces what the request took. Evicts only clients that don't read
     * their responses, whose memory is free once they are closed: a later response finds the room.
     */
    AdmissionDecision beginResponse(ConnectionId id, size_t bytes, MonotonicTime now);

    /** The response was sent. */
    void endExchange(ConnectionId id, MonotonicTime now);

    /** Returns the connections whose time has run out; each is returned once. */
    std::vector<ClosedConnection> takeExpired(MonotonicTime now);

    ListenerUsage usage() const;

private:
    struct Connection
    {
        ConnectionPhase phase = ConnectionPhase::Idle;
        MonotonicTime phaseSince;
        MonotonicTime lagMeasuredAt;
        MonotonicTime::duration lag{0}; ///< At lagMeasuredAt.
        size_t bytes = 0; ///< Held by its request or response.
    };

    using Connections = absl::flat_hash_map<ConnectionId, Connection>;

    bool hasExpired(const Connection &connection, MonotonicTime now) const;
    void enterPhase(Connection &connection, ConnectionPhase phase, MonotonicTime now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void setBytes(Connection &connection, size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    static MonotonicTime::duration lagOf(const Connection &connection, MonotonicTime now);
    ClosedConnection beginClosing(Connections::value_type &entry, MonotonicTime now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    template<typename Predicate>
    std::vector<Connections::value_type *> findEvictable(Predicate isCandidate, MonotonicTime now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::vector<Connections::value_type *>
    selectEvictions(ConnectionId id, ConnectionPhase phase, size_t needed, MonotonicTime now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool makeRoom(ConnectionId id, size_t bytes, std::vector<ClosedConnection> &evicted, MonotonicTime now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    AdmissionDecision resizeLocked(ConnectionId id, size_t bytes, MonotonicTime now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    size_t maxOpenConnections() const;
    size_t maxPendingCalls() const;
    size_t memoryLimitFor(size_t bytes) const;

    const ListenerLimits limits_;
    mutable absl::Mutex mutex_;
    Connections connections_ ABSL_GUARDED_BY(mutex_);
    size_t closing_ ABSL_GUARDED_BY(mutex_) = 0;
    ListenerUsage usage_ ABSL_GUARDED_BY(mutex_);
};

} // namespace marjoramferry
