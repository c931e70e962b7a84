#include "connection/http_connections.h"

#include "connection/http_exchange.h"
#include "connection/http_refusals.h"

#include <absl/strings/str_cat.h>
#include <spdlog/spdlog.h>

#include <sys/socket.h>

#include <utility>

namespace marjoramferry {

namespace {

constexpr Milliseconds ExpiryCheckInterval{1000};

std::string renderHead(const HttpResponse &response)
{
    std::string head = absl::StrCat("HTTP/1.1 ",
                                    response.status,
                                    " ",
                                    MHD_get_reason_phrase_for(static_cast<unsigned>(response.status)),
                                    "\r\nContent-Type: ",
                                    response.contentType,
                                    "\r\nContent-Length: ",
                                    response.body.size(),
                                    "\r\nConnection: close\r\n");
    if (response.retryAfterMs > 0) {
        absl::StrAppend(&head, "Retry-After: ", retryAfterSeconds(response), "\r\n");
    }
    return head + "\r\n";
}

/** Whether the limits were applied more often than as of @p earlier. */
bool hasNewRefusals(const ListenerUsage &usage, const ListenerUsage &earlier)
{
    return usage.refusedConnections != earlier.refusedConnections || usage.refusedRequests != earlier.refusedRequests
        || usage.tooLargeRequests != earlier.tooLargeRequests || usage.evictedConnections != earlier.evictedConnections
        || usage.expiredConnections != earlier.expiredConnections;
}

} // namespace

HttpConnections::HttpConnections(std::string listenAddress, ListenerLimits limits, FreeBody freeBody)
    : listenAddress_(std::move(listenAddress))
    , freeBody_(std::move(freeBody))
    , budget_(limits)
{
}

ConnectionId HttpConnections::open(int descriptor, MonotonicTime now)
{
    ConnectionId id = 0;
    {
        absl::MutexLock lock(&mutex_);
        id = ++lastId_;
        descriptors_[id] = descriptor;
    }
    const AdmissionDecision decision = budget_.open(id, now);
    apply(decision);
    if (decision.outcome != AdmissionOutcome::Admitted) {
        shutDown(id, std::nullopt);
    }
    return id;
}

void HttpConnections::close(ConnectionId id)
{
    {
        absl::MutexLock lock(&mutex_);
        descriptors_.erase(id);
    }
    budget_.close(id);
}

AdmissionOutcome HttpConnections::beginRequest(ConnectionId id, size_t bytes, MonotonicTime now)
{
    const AdmissionDecision decision = budget_.beginRequest(id, bytes, now);
    apply(decision);
    return decision.outcome;
}

void HttpConnections::recordTooLarge()
{
    budget_.recordTooLarge();
}

AdmissionOutcome HttpConnections::resize(ConnectionId id, size_t bytes, MonotonicTime now)
{
    const AdmissionDecision decision = budget_.resize(id, bytes, now);
    apply(decision);
    return decision.outcome;
}

void HttpConnections::recordProgress(ConnectionId id, size_t bytes, MonotonicTime now)
{
    budget_.recordProgress(id, bytes, now);
}

AdmissionOutcome HttpConnections::beginCall(ConnectionId id, MonotonicTime now)
{
    return budget_.beginCall(id, now);
}

void HttpConnections::endExchange(ConnectionId id, MonotonicTime now)
{
    budget_.endExchange(id, now);
}

void HttpConnections::reject(ConnectionId id, const HttpResponse &response)
{
    shutDown(id, response);
}

AdmissionOutcome HttpConnections::beginResponse(ConnectionId id, size_t bytes, MonotonicTime now)
{
    const AdmissionDecision decision = budget_.beginResponse(id, bytes, now);
    apply(decision);
    return decision.outcome;
}

void HttpConnections::closeExpired(MonotonicTime now)
{
    if (now < nextCheckAt_) {
        return;
    }
    nextCheckAt_ = now + ExpiryCheckInterval;
    for (const ClosedConnection &each : budget_.takeExpired(now)) {
        const bool isReceiving = each.phase == ConnectionPhase::Receiving;
        shutDown(each.id, isReceiving ? std::optional(makeTimeoutResponse()) : std::nullopt);
    }
    logUsage();
}

ListenerUsage HttpConnections::usage() const
{
    return budget_.usage();
}

/** Only the I/O thread gets decisions that evict connections with a body. */
void HttpConnections::apply(const AdmissionDecision &decision)
{
    for (const ClosedConnection &each : decision.evicted) {
        const bool isReceiving = each.phase == ConnectionPhase::Receiving;
        if (isReceiving) {
            freeBody_(each.id);
        }
        shutDown(each.id, isReceiving ? std::optional(makeRefusal(0, AdmissionOutcome::Refused)) : std::nullopt);
    }
}

void HttpConnections::shutDown(ConnectionId id, const std::optional<HttpResponse> &response)
{
    absl::MutexLock lock(&mutex_);
    const auto found = descriptors_.find(id);
    if (found == descriptors_.end()) {
        return;
    }
    if (response) {
        // Nothing else was written for this request, so the response fits into the send buffer.
        const std::string text = renderHead(*response) + response->body;
        send(found->second, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    shutdown(found->second, SHUT_RDWR);
}

/** Logs one line for all that was refused and closed since the previous one. */
void HttpConnections::logUsage()
{
    const ListenerUsage usage = budget_.usage();
    if (!hasNewRefusals(usage, logged_)) {
        return;
    }
    spdlog::warn("event=clients_limited listener={} connections={} request_bytes={} pending_calls={} "
                 "refused_connections={} refused_requests={} too_large_requests={} evicted={} expired={}",
                 listenAddress_,
                 usage.connections,
                 usage.requestBytes,
                 usage.pendingCalls,
                 usage.refusedConnections - logged_.refusedConnections,
                 usage.refusedRequests - logged_.refusedRequests,
                 usage.tooLargeRequests - logged_.tooLargeRequests,
                 usage.evictedConnections - logged_.evictedConnections,
                 usage.expiredConnections - logged_.expiredConnections);
    logged_ = usage;
}

} // namespace marjoramferry
