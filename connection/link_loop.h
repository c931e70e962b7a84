#pragma once

#include "core/bounded_queue.h"
#include "core/listener_budget.h"
#include "event/link_event.h"
#include "event/message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>

namespace marjoramferry {

/** Callbacks of a LinkLoop. They run on the loop's thread and must return quickly. */
struct LinkHandlers
{
    std::function<void(LinkId, Message)> onLinkMessage;
    std::function<void(LinkId)> onLinkClosed;
    std::function<void(const std::string &, Message)> onPeerMessage;
    std::function<void(const std::string &)> onPeerClosed;
};

/** Traffic counters since the start of the process. Bytes include the frame headers. */
struct LinkTraffic
{
    std::atomic<uint64_t> messagesIn{0};
    std::atomic<uint64_t> messagesOut{0};
    std::atomic<uint64_t> bytesIn{0};
    std::atomic<uint64_t> bytesOut{0};
};

/** Limits of the inbound connections. */
struct LinkLimits
{
    ListenerLimits listener; ///< Without the messages that wait to be sent.
    size_t unsentBytes = size_t{64} << 20U; ///< Sum over all links, and the limit of each peer.

    auto operator<=>(const LinkLimits &) const = default;
};

/**
 * Manages the TCP connections between processes on a single event loop thread.
 *
 * A frame is a 4-byte big-endian length followed by one encoded message. Inbound connections (links) are
 * identified by a LinkId, outbound connections (peers) by the address that they connect to. The first message
 * to an address opens the connection; after a failure, the next message reopens it, at most every 100 ms.
 * Messages sent in between are dropped and reported through onPeerClosed.
 */
class LinkLoop
{
public:
    /**
     * @p listenAddress is host:port, or empty for no listener. Throws Settings if it can't be parsed and
     * Unavailable if it can't be bound.
     */
    LinkLoop(const std::string &listenAddress, LinkHandlers handlers, LinkLimits limits = {});
    ~LinkLoop();

    LinkLoop(const LinkLoop &) = delete;
    LinkLoop &operator=(const LinkLoop &) = delete;

    void start();

    /** Sends the queued messages, runs for another 200 ms to flush them, then ends the loop's thread. */
    void stop();

    void sendToLink(LinkId link, Message message);
    /** Closes an inbound connection, whose end is then reported through onLinkClosed. */
    void closeLink(LinkId link);
    void sendToPeer(std::string address, Message message);

    /** Resets the connection to a peer. Unsent data is discarded, including data in the kernel's send buffer. */
    void resetPeer(std::string address);

    const LinkTraffic &traffic() const;

    /** Of the inbound connections. */
    ListenerUsage usage() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
