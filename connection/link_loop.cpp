#include "connection/link_loop.h"

#include "connection/frame_io.h"
#include "connection/listen_address.h"
#include "connection/message_codec.h"
#include "core/clock.h"
#include "core/error.h"

#include <absl/container/flat_hash_map.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <event2/util.h>
#include <spdlog/spdlog.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <numeric>
#include <utility>
#include <vector>

namespace marjoramferry {

namespace {

constexpr size_t CommandQueueCapacity = 1U << 17U;
/** A link with less to send is not checked against the limit of all links. */
constexpr size_t SmallUnsentBytes = size_t{64} << 10U;
constexpr timeval ExpiryCheckInterval{1, 0};
/** Messages to a peer fail without a connection attempt for this long after its connection failed. */
constexpr Milliseconds ReconnectDelay{100};
constexpr Milliseconds StopFlushTime{200};

struct SendLinkMessage
{
    LinkId link;
    Message message;
};

struct SendPeerMessage
{
    std::string address;
    Message message;
};

struct ResetPeerConnection
{
    std::string address;
};

using LoopCommand = std::variant<SendLinkMessage, CloseLink, SendPeerMessage, ResetPeerConnection>;

void setNoDelay(bufferevent *stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

class LinkLoop::Impl
{
public:
    Impl(const std::string &listenAddress, LinkHandlers handlers, LinkLimits limits);
    ~Impl();

    void start();
    void stop();
    void enqueue(LoopCommand command);
    ListenerUsage usage() const;

    LinkTraffic traffic;

private:
    /** An inbound connection has a link id; an outbound one has LocalLink as its id, and an address. */
    struct Connection
    {
        Impl *loop = nullptr;
        bufferevent *stream = nullptr;
        LinkId link = LocalLink;
        std::string address;
        bool isConnected = false;
        size_t partialBytes = 0; ///< Received of a frame that is incomplete; 0 if there is none.
    };

    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self);
    static void onReadable(bufferevent *stream, void *connection);
    static void onStreamEvent(bufferevent *stream, short events, void *connection);
    static void onCommandsQueued(evutil_socket_t, short, void *self);
    static void onExpiryCheck(evutil_socket_t, short, void *self);

    void addConnection(std::unique_ptr<Connection> connection);
    void executeCommands();
    void execute(const SendLinkMessage &command);
    void execute(const CloseLink &command);
    void execute(const SendPeerMessage &command);
    void execute(const ResetPeerConnection &command);
    Connection *findOrOpenPeer(const std::string &address);
    void write(Connection &connection, const Message &message);
    bool mayQueue(const Connection &connection, size_t bytes) const;
    bool readFrame(Connection &connection);
    void trackInput(Connection &connection, bool hasReadFrame);
    void closeLinks(const std::vector<ClosedConnection> &closed, const char *reason);
    void close(Connection &connection);

    LinkHandlers handlers_;
    const LinkLimits limits_;
    ListenerBudget budget_;
    event_base *base_;
    event *commandEvent_;
    event *expiryEvent_;
    evconnlistener *listener_ = nullptr;
    BoundedQueue<LoopCommand> commands_{CommandQueueCapacity};
    absl::flat_hash_map<LinkId, std::unique_ptr<Connection>> links_;
    absl::flat_hash_map<std::string, std::unique_ptr<Connection>> peers_;
    absl::flat_hash_map<std::string, MonotonicTime> failedAt_;
    LinkId lastLink_ = LocalLink;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

LinkLoop::Impl::Impl(const std::string &listenAddress, LinkHandlers handlers, LinkLimits limits)
    : handlers_(std::move(handlers))
    , limits_(limits)
    , budget_(limits.listener)
{
    evthread_use_pthreads();
    base_ = event_base_new();
    commandEvent_ = event_new(base_, -1, EV_PERSIST, &Impl::onCommandsQueued, this);
    expiryEvent_ = event_new(base_, -1, EV_PERSIST, &Impl::onExpiryCheck, this);
    if (listenAddress.empty()) {
        return;
    }
    event_add(expiryEvent_, &ExpiryCheckInterval);
    SocketAddress address = parseSocketAddress(listenAddress);
    constexpr int Backlog = 1024;
    listener_ = evconnlistener_new_bind(base_,
                                        &Impl::onAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        Backlog,
                                        address.get(),
                                        address.length);
    if (listener_ == nullptr) {
        throw Error(
            ErrorKind::Unavailable, listenAddress, std::strerror(errno), "free the port or configure another one");
    }
}

LinkLoop::Impl::~Impl()
{
    stop();
    const auto freeStream = [](const auto &item) { bufferevent_free(item.second->stream); };
    std::for_each(links_.begin(), links_.end(), freeStream);
    std::for_each(peers_.begin(), peers_.end(), freeStream);
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
    event_free(commandEvent_);
    event_free(expiryEvent_);
    event_base_free(base_);
}

void LinkLoop::Impl::start()
{
    thread_ = std::thread([this] { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); });
}

void LinkLoop::Impl::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    stopping_ = true;
    event_active(commandEvent_, 0, 0);
    thread_.join();
}

void LinkLoop::Impl::enqueue(LoopCommand command)
{
    commands_.push(std::move(command));
    event_active(commandEvent_, 0, 0);
}

void LinkLoop::Impl::onCommandsQueued(evutil_socket_t, short, void *self)
{
    auto *loop = static_cast<Impl *>(self);
    loop->executeCommands();
    if (loop->stopping_) {
        const timeval flush{0, static_cast<suseconds_t>(std::chrono::microseconds(StopFlushTime).count())};
        event_base_loopexit(loop->base_, &flush);
    }
}

void LinkLoop::Impl::onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
{
    auto *loop = static_cast<Impl *>(self);
    const LinkId link = ++loop->lastLink_;
    const AdmissionDecision decision = loop->budget_.open(static_cast<ConnectionId>(link), monotonicNow());
    loop->closeLinks(decision.evicted, "evicted");
    if (decision.outcome != AdmissionOutcome::Admitted) {
        loop->budget_.close(static_cast<ConnectionId>(link));
        evutil_closesocket(socket);
        return;
    }
    auto connection = std::make_unique<Connection>();
    connection->loop = loop;
    connection->stream = bufferevent_socket_new(loop->base_, socket, BEV_OPT_CLOSE_ON_FREE);
    connection->link = link;
    connection->isConnected = true;
    loop->addConnection(std::move(connection));
}

void LinkLoop::Impl::addConnection(std::unique_ptr<Connection> connection)
{
    bufferevent_setcb(connection->stream, &Impl::onReadable, nullptr, &Impl::onStreamEvent, connection.get());
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
    if (connection->link == LocalLink) {
        peers_[connection->address] = std::move(connection);
        return;
    }
    setNoDelay(connection->stream);
    links_[connection->link] = std::move(connection);
}

void LinkLoop::Impl::executeCommands()
{
    for (const LoopCommand &command : commands_.popAll(Microseconds(0))) {
        std::visit([this](const auto &alternative) { execute(alternative); }, command);
    }
}

void LinkLoop::Impl::execute(const SendLinkMessage &command)
{
    if (const auto found = links_.find(command.link); found != links_.end()) {
        write(*found->second, command.message);
    }
}

void LinkLoop::Impl::execute(const CloseLink &command)
{
    if (const auto found = links_.find(command.link); found != links_.end()) {
        close(*found->second);
    }
}

void LinkLoop::Impl::execute(const SendPeerMessage &command)
{
    if (Connection *connection = findOrOpenPeer(command.address)) {
        write(*connection, command.message);
    } else {
        handlers_.onPeerClosed(command.address);
    }
}

void LinkLoop::Impl::execute(const ResetPeerConnection &command)
{
    failedAt_.erase(command.address);
    const auto found = peers_.find(command.address);
    if (found == peers_.end()) {
        return;
    }
    // A zero linger time makes close() send RST and discard the send buffer.
    const linger resetOnClose{1, 0};
    bufferevent *stream = found->second->stream;
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    bufferevent_free(stream);
    peers_.erase(found);
}

LinkLoop::Impl::Connection *LinkLoop::Impl::findOrOpenPeer(const std::string &address)
{
    if (const auto found = peers_.find(address); found != peers_.end()) {
        return found->second.get();
    }
    const auto failed = failedAt_.find(address);
    if (failed != failedAt_.end() && std::chrono::steady_clock::now() - failed->second < ReconnectDelay) {
        return nullptr;
    }
    try {
        SocketAddress target = parseSocketAddress(address);
        auto connection = std::make_unique<Connection>();
        connection->loop = this;
        connection->address = address;
        connection->stream = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
        if (bufferevent_socket_connect(connection->stream, target.get(), target.length) != 0) {
            bufferevent_free(connection->stream);
            failedAt_[address] = std::chrono::steady_clock::now();
            return nullptr;
        }
        Connection *raw = connection.get();
        addConnection(std::move(connection));
        return raw;
    } catch (const Error &error) {
        spdlog::warn("event=peer_address_rejected reason=\"{}\"", error.what());
        return nullptr;
    }
}

void LinkLoop::Impl::write(Connection &connection, const Message &message)
{
    const std::string body = encodeMessage(message);
    if (body.size() > MaxMessageBytes || !mayQueue(connection, body.size())) {
        spdlog::warn(
            "event=send_limit_exceeded peer={} link={} bytes={}", connection.address, connection.link, body.size());
        close(connection);
        return;
    }
    writeFrame(connection.stream, connection.isConnected, body);
    ++traffic.messagesOut;
    traffic.bytesOut += FrameHeaderBytes + body.size();
}

/** Whether so many more bytes may wait to be sent. Those of all links count together. */
bool LinkLoop::Impl::mayQueue(const Connection &connection, size_t bytes) const
{
    const auto unsentBytes
        = [](const Connection &each) { return evbuffer_get_length(bufferevent_get_output(each.stream)); };
    const size_t unsent = unsentBytes(connection);
    if (connection.link == LocalLink || unsent + bytes <= SmallUnsentBytes) {
        return unsent + bytes <= limits_.unsentBytes;
    }
    const size_t total = std::accumulate(links_.begin(), links_.end(), size_t{0}, [&](size_t sum, const auto &each) {
        return sum + unsentBytes(*each.second);
    });
    return total + bytes <= limits_.unsentBytes;
}

void LinkLoop::Impl::onReadable(bufferevent *, void *context)
{
    auto *connection = static_cast<Connection *>(context);
    Impl *loop = connection->loop;
    try {
        bool hasReadFrame = false;
        while (loop->readFrame(*connection)) {
            hasReadFrame = true;
        }
        if (connection->link != LocalLink) {
            loop->trackInput(*connection, hasReadFrame);
        }
    } catch (const Error &error) {
        spdlog::warn("event=message_rejected peer={} link={} reason=\"{}\"",
                     connection->address,
                     connection->link,
                     error.what());
        loop->close(*connection);
    }
}

bool LinkLoop::Impl::readFrame(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.stream);
    const auto length = peekMessageLength(input);
    if (!length || evbuffer_get_length(input) < FrameHeaderBytes + *length) {
        return false;
    }
    Message message = takeMessage(input, *length);
    ++traffic.messagesIn;
    traffic.bytesIn += FrameHeaderBytes + *length;
    if (connection.link == LocalLink) {
        handlers_.onPeerMessage(connection.address, std::move(message));
    } else {
        handlers_.onLinkMessage(connection.link, std::move(message));
    }
    return true;
}

/** Reserves memory for the frame that is incomplete, if there is one. Throws if there is no room for it. */
void LinkLoop::Impl::trackInput(Connection &connection, bool hasReadFrame)
{
    const auto id = static_cast<ConnectionId>(connection.link);
    const MonotonicTime now = monotonicNow();
    if (hasReadFrame) {
        budget_.endExchange(id, now);
        connection.partialBytes = 0;
    }
    evbuffer *input = bufferevent_get_input(connection.stream);
    const auto length = peekMessageLength(input);
    if (!length) {
        return;
    }
    if (connection.partialBytes == 0) {
        const AdmissionDecision decision = budget_.beginRequest(id, *length, now);
        closeLinks(decision.evicted, "evicted");
        if (decision.outcome != AdmissionOutcome::Admitted) {
            throw Error(ErrorKind::TooLarge,
                        "message",
                        "has no room beside those of the other links",
                        "send it again later, or raise [machine] memory");
        }
    }
    const size_t received = evbuffer_get_length(input);
    budget_.recordProgress(id, received - connection.partialBytes, now);
    connection.partialBytes = received;
}

void LinkLoop::Impl::onExpiryCheck(evutil_socket_t, short, void *self)
{
    auto *loop = static_cast<Impl *>(self);
    loop->closeLinks(loop->budget_.takeExpired(monotonicNow()), "expired");
}

void LinkLoop::Impl::closeLinks(const std::vector<ClosedConnection> &closed, const char *reason)
{
    for (const ClosedConnection &each : closed) {
        if (const auto found = links_.find(static_cast<LinkId>(each.id)); found != links_.end()) {
            spdlog::warn("event=link_closed link={} reason={}", each.id, reason);
            close(*found->second);
        }
    }
}

ListenerUsage LinkLoop::Impl::usage() const
{
    return budget_.usage();
}

void LinkLoop::Impl::onStreamEvent(bufferevent *stream, short events, void *context)
{
    auto *connection = static_cast<Connection *>(context);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connection->isConnected = true;
        setNoDelay(stream);
    } else if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        connection->loop->close(*connection);
    }
}

void LinkLoop::Impl::close(Connection &connection)
{
    bufferevent_free(connection.stream);
    if (connection.link != LocalLink) {
        const LinkId link = connection.link;
        links_.erase(link);
        budget_.close(static_cast<ConnectionId>(link));
        handlers_.onLinkClosed(link);
        return;
    }
    const std::string address = connection.address;
    failedAt_[address] = std::chrono::steady_clock::now();
    peers_.erase(address);
    handlers_.onPeerClosed(address);
}

LinkLoop::LinkLoop(const std::string &listenAddress, LinkHandlers handlers, LinkLimits limits)
    : impl_(std::make_unique<Impl>(listenAddress, std::move(handlers), limits))
{
}

LinkLoop::~LinkLoop() = default;

void LinkLoop::start()
{
    impl_->start();
}

void LinkLoop::stop()
{
    impl_->stop();
}

void LinkLoop::sendToLink(LinkId link, Message message)
{
    impl_->enqueue(SendLinkMessage{link, std::move(message)});
}

void LinkLoop::closeLink(LinkId link)
{
    impl_->enqueue(CloseLink{link});
}

void LinkLoop::sendToPeer(std::string address, Message message)
{
    impl_->enqueue(SendPeerMessage{std::move(address), std::move(message)});
}

void LinkLoop::resetPeer(std::string address)
{
    impl_->enqueue(ResetPeerConnection{std::move(address)});
}

const LinkTraffic &LinkLoop::traffic() const
{
    return impl_->traffic;
}

ListenerUsage LinkLoop::usage() const
{
    return impl_->usage();
}

} // namespace marjoramferry
