#include "connection/link_loop.h"

#include "connection/message_codec.h"
#include "core/error.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <event2/util.h>
#include <spdlog/spdlog.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

namespace marjoramferry {

namespace {

constexpr size_t CommandQueueCapacity = 1U << 17U;
constexpr size_t MaxUnsentBytes = 64U << 20U; ///< Per connection.
constexpr size_t FrameHeaderBytes = 4;
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

struct SocketAddress
{
    sockaddr_storage storage{};
    int length = sizeof(sockaddr_storage);
};

SocketAddress parseAddress(const std::string &text)
{
    SocketAddress address;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&address.storage), &address.length)
        != 0) {
        throw Error(ErrorKind::Settings,
                    text,
                    "is not a valid address",
                    "use an IP address and a port, such as 127.0.0.1:7100");
    }
    return address;
}

void setNoDelay(bufferevent *stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

class LinkLoop::Impl
{
public:
    Impl(const std::string &listenAddress, LinkHandlers handlers);
    ~Impl();

    void start();
    void stop();
    void enqueue(LoopCommand command);

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
    };

    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self);
    static void onReadable(bufferevent *stream, void *connection);
    static void onStreamEvent(bufferevent *stream, short events, void *connection);
    static void onCommandsQueued(evutil_socket_t, short, void *self);

    void addConnection(std::unique_ptr<Connection> connection);
    void executeCommands();
    void execute(const SendLinkMessage &command);
    void execute(const CloseLink &command);
    void execute(const SendPeerMessage &command);
    void execute(const ResetPeerConnection &command);
    Connection *findOrOpenPeer(const std::string &address);
    void write(Connection &connection, const Message &message);
    static size_t writeDirectly(const Connection &connection, const std::array<iovec, 2> &parts);
    bool readFrame(Connection &connection);
    void close(Connection &connection);

    LinkHandlers handlers_;
    event_base *base_;
    event *commandEvent_;
    evconnlistener *listener_ = nullptr;
    BoundedQueue<LoopCommand> commands_{CommandQueueCapacity};
    absl::flat_hash_map<LinkId, std::unique_ptr<Connection>> links_;
    absl::flat_hash_map<std::string, std::unique_ptr<Connection>> peers_;
    absl::flat_hash_map<std::string, MonotonicTime> failedAt_;
    LinkId lastLink_ = LocalLink;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

LinkLoop::Impl::Impl(const std::string &listenAddress, LinkHandlers handlers)
    : handlers_(std::move(handlers))
{
    evthread_use_pthreads();
    base_ = event_base_new();
    commandEvent_ = event_new(base_, -1, EV_PERSIST, &Impl::onCommandsQueued, this);
    if (listenAddress.empty()) {
        return;
    }
    SocketAddress address = parseAddress(listenAddress);
    constexpr int Backlog = 1024;
    listener_ = evconnlistener_new_bind(base_,
                                        &Impl::onAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        Backlog,
                                        reinterpret_cast<sockaddr *>(&address.storage),
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
    auto connection = std::make_unique<Connection>();
    connection->loop = loop;
    connection->stream = bufferevent_socket_new(loop->base_, socket, BEV_OPT_CLOSE_ON_FREE);
    connection->link = ++loop->lastLink_;
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
        SocketAddress target = parseAddress(address);
        auto connection = std::make_unique<Connection>();
        connection->loop = this;
        connection->address = address;
        connection->stream = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&target.storage);
        if (bufferevent_socket_connect(connection->stream, socketAddress, target.length) != 0) {
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
    evbuffer *output = bufferevent_get_output(connection.stream);
    if (body.size() > MaxMessageBytes || evbuffer_get_length(output) + body.size() > MaxUnsentBytes) {
        spdlog::warn(
            "event=send_limit_exceeded peer={} link={} bytes={}", connection.address, connection.link, body.size());
        close(connection);
        return;
    }
    uint32_t length = htonl(static_cast<uint32_t>(body.size()));
    std::array<iovec, 2> parts{iovec{&length, FrameHeaderBytes}, iovec{const_cast<char *>(body.data()), body.size()}};
    const bool canWriteDirectly = connection.isConnected && evbuffer_get_length(output) == 0;
    size_t written = canWriteDirectly ? writeDirectly(connection, parts) : 0;
    for (const iovec &part : parts) {
        const size_t done = std::min(written, part.iov_len);
        evbuffer_add(output, static_cast<const char *>(part.iov_base) + done, part.iov_len - done);
        written -= done;
    }
    ++traffic.messagesOut;
    traffic.bytesOut += FrameHeaderBytes + body.size();
}

/**
 * Writes as much as the socket accepts without waiting for a loop iteration, and returns the number of bytes
 * written. Errors are ignored: the event loop sees them when it writes the rest.
 */
size_t LinkLoop::Impl::writeDirectly(const Connection &connection, const std::array<iovec, 2> &parts)
{
    msghdr message{};
    message.msg_iov = const_cast<iovec *>(parts.data());
    message.msg_iovlen = parts.size();
    const ssize_t sent = sendmsg(bufferevent_getfd(connection.stream), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    return static_cast<size_t>(std::max<ssize_t>(sent, 0));
}

void LinkLoop::Impl::onReadable(bufferevent *, void *context)
{
    auto *connection = static_cast<Connection *>(context);
    Impl *loop = connection->loop;
    try {
        while (loop->readFrame(*connection)) { }
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
    uint32_t header = 0;
    if (evbuffer_copyout(input, &header, FrameHeaderBytes) < static_cast<ev_ssize_t>(FrameHeaderBytes)) {
        return false;
    }
    const size_t length = ntohl(header);
    if (length > MaxMessageBytes) {
        throw Error(ErrorKind::TooLarge,
                    "message",
                    absl::StrCat("has ", length, " bytes, more than the limit of ", MaxMessageBytes),
                    "run the same release on both sides");
    }
    if (evbuffer_get_length(input) < FrameHeaderBytes + length) {
        return false;
    }
    evbuffer_drain(input, FrameHeaderBytes);
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    Message message = decodeMessage(std::string_view(bytes, length));
    evbuffer_drain(input, length);
    ++traffic.messagesIn;
    traffic.bytesIn += FrameHeaderBytes + length;
    if (connection.link == LocalLink) {
        handlers_.onPeerMessage(connection.address, std::move(message));
    } else {
        handlers_.onLinkMessage(connection.link, std::move(message));
    }
    return true;
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
        handlers_.onLinkClosed(link);
        return;
    }
    const std::string address = connection.address;
    failedAt_[address] = std::chrono::steady_clock::now();
    peers_.erase(address);
    handlers_.onPeerClosed(address);
}

LinkLoop::LinkLoop(const std::string &listenAddress, LinkHandlers handlers)
    : impl_(std::make_unique<Impl>(listenAddress, std::move(handlers)))
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

} // namespace marjoramferry
