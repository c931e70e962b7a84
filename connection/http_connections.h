#pragma once

#include "core/listener_budget.h"
#include "event/http_event.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <string>

namespace marjoramferry {

/**
 * The open connections of an HTTP server: applies the decisions of its ListenerBudget to their sockets.
 *
 * A connection is closed by shutting its socket down, which the server's I/O thread sees as the client's disconnect. So
 * a socket is shut down only while it is registered here, and it is registered until the I/O thread is about to close
 * it.
 */
class HttpConnections
{
public:
    /** Called on the I/O thread for a connection whose body must be freed at once. */
    using FreeBody = std::function<void(ConnectionId)>;

    HttpConnections(std::string listenAddress, ListenerLimits limits, FreeBody freeBody);

    // These are called on the I/O thread.
    ConnectionId open(int descriptor, MonotonicTime now);
    void close(ConnectionId id);
    AdmissionOutcome beginRequest(ConnectionId id, size_t bytes, MonotonicTime now);
    void recordTooLarge();
    AdmissionOutcome resize(ConnectionId id, size_t bytes, MonotonicTime now);
    void recordProgress(ConnectionId id, size_t bytes, MonotonicTime now);
    AdmissionOutcome beginCall(ConnectionId id, MonotonicTime now);
    void endExchange(ConnectionId id, MonotonicTime now);

    /**
     * Writes a response to a request whose body is incomplete, where the HTTP library accepts none, and shuts the
     * connection down.
     */
    void reject(ConnectionId id, const HttpResponse &response);

    // These may be called on any thread.
    AdmissionOutcome beginResponse(ConnectionId id, size_t bytes, MonotonicTime now);
    /** Looks once a second; to be called by one thread. */
    void closeExpired(MonotonicTime now);
    ListenerUsage usage() const;

private:
    void apply(const AdmissionDecision &decision);
    void shutDown(ConnectionId id, const std::optional<HttpResponse> &response);
    void logUsage();

    const std::string listenAddress_;
    const FreeBody freeBody_;
    ListenerBudget budget_;
    absl::Mutex mutex_;
    ConnectionId lastId_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<ConnectionId, int> descriptors_ ABSL_GUARDED_BY(mutex_);
    MonotonicTime nextCheckAt_; ///< Used by closeExpired() only, as the next one.
    ListenerUsage logged_; ///< The counters as of the latest log line.
};

} // namespace marjoramferry
