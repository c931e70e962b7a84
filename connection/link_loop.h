#pragma once

#include "core/bounded_queue.h"
#include "request/entry_command.h"
#include "request/message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>

namespace marjoramferry {

/** What a link loop tells. The functions are called on the loop's thread and must not wait for long. */
struct LinkHandlers
{
    std::function<void(LinkId, Message)> onLinkMessage;
    std::function<void(LinkId)> onLinkClosed;
    std::function<void(const std::string &, Message)> onPeerMessage;
    std::function<void(const std::string &)> onPeerClosed;
};

/** Counts since the start of the process. */
struct LinkTraffic
{
    std::atomic<uint64_t> messagesIn{0};
    std::atomic<uint64_t> messagesOut{0};
    std::atomic<uint64_t> bytesIn{0};
    std::atomic<uint64_t> bytesOut{0};
};

/**
 * The TCP connections between processes, on one thread.
 *
 * A frame is a length of four bytes, high byte first, and one message. Inbound connections are
 * named by link ids, outbound ones by the address they were opened to; an outbound connection is
 * opened by the first message and again by the next one after it broke.
 */
class LinkLoop
{
public:
    /** @p listenAddress is host:port, or empty for no listener. Throws Unavailable if it can't be bound. */
    LinkLoop(const std::string &listenAddress, LinkHandlers handlers);
    ~LinkLoop();

    LinkLoop(const LinkLoop &) = delete;
    LinkLoop &operator=(const LinkLoop &) = delete;

    void start();

    /** Sends what is queued for a moment, then closes all connections. */
    void stop();

    void sendToLink(LinkId link, Message message);
    void sendToPeer(std::string address, Message message);

    /** Closes the connection to a peer at once; what is still unsent, also in the kernel, is dropped. */
    void resetPeer(std::string address);

    const LinkTraffic &traffic() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
