#include "connection/link_loop.h"

#include "connection/message_codec.h"
#include "core/error.h"

#include <absl/container/flat_hash_map.h>
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

constexpr size_t OutboundRingItems = 1U << 17U;
constexpr size_t MaxUnsentBytes = 64U << 20U;
constexpr size_t HeaderBytes = 4;
constexpr Milliseconds ReconnectPause{100};
constexpr Milliseconds FlushAtStop{200};

struct ToLink
{
    LinkId link;
    Message message;
};

struct ToPeer
{
    std::string address;
    Message message;
};

struct Reset
{
    std::string address;
};

using Outbound = std::variant<ToLink, ToPeer, Reset>;

struct Address
{
    sockaddr_storage storage{};
    int length = sizeof(sockaddr_storage);
};

Address parseAddress(const std::string &text)
{
    Address address;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&address.storage), &address.length)
        != 0) {
        throw Error(ErrorKind::Settings, text, "is no address", "give an IP number and a port, as 127.0.0.1:7100");
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
    void send(Outbound item);

    LinkTraffic traffic;

private:
    /** One connection; link is zero for an outbound one, whose address is set. */
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
    static void onStreamEvent(bufferevent *stream, short what, void *connection);
    static void onWake(evutil_socket_t, short, void *self);

    void adopt(std::unique_ptr<Connection> connection);
    void sendQueued();
    void sendOne(const ToLink &item);
    void sendOne(const ToPeer &item);
    void sendOne(const Reset &item);
    Connection *connectionTo(const std::string &address);
    void write(Connection &connection, const Message &message);
    static size_t writeAtOnce(const Connection &connection, const std::array<iovec, 2> &parts);
    bool readFrame(Connection &connection);
    void close(Connection &connection);

    LinkHandlers handlers_;
    event_base *base_;
    event *wake_;
    evconnlistener *listener_ = nullptr;
    BoundedQueue<Outbound> outbound_{OutboundRingItems};
    absl::flat_hash_map<LinkId, std::unique_ptr<Connection>> links_;
    absl::flat_hash_map<std::string, std::unique_ptr<Connection>> peers_;
    absl::flat_hash_map<std::string, MonotonicTime> brokenAt_;
    LinkId lastLink_ = LocalLink;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

LinkLoop::Impl::Impl(const std::string &listenAddress, LinkHandlers handlers)
    : handlers_(std::move(handlers))
{
    evthread_use_pthreads();
    base_ = event_base_new();
    wake_ = event_new(base_, -1, EV_PERSIST, &Impl::onWake, this);
    if (listenAddress.empty()) {
        return;
    }
    Address address = parseAddress(listenAddress);
    constexpr int Backlog = 1024;
    listener_ = evconnlistener_new_bind(base_,
                                        &Impl::onAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        Backlog,
                                        reinterpret_cast<sockaddr *>(&address.storage),
                                        address.length);
    if (listener_ == nullptr) {
        throw Error(ErrorKind::Unavailable, listenAddress, std::strerror(errno), "free the port or set another one");
    }
}

LinkLoop::Impl::~Impl()
{
    stop();
    const auto freeStream = [](const auto &entry) { bufferevent_free(entry.second->stream); };
    std::for_each(links_.begin(), links_.end(), freeStream);
    std::for_each(peers_.begin(), peers_.end(), freeStream);
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
    event_free(wake_);
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
    event_active(wake_, 0, 0);
    thread_.join();
}

void LinkLoop::Impl::send(Outbound item)
{
    outbound_.push(std::move(item));
    event_active(wake_, 0, 0);
}

void LinkLoop::Impl::onWake(evutil_socket_t, short, void *self)
{
    auto *loop = static_cast<Impl *>(self);
    loop->sendQueued();
    if (loop->stopping_) {
        const timeval flush{0, static_cast<suseconds_t>(std::chrono::microseconds(FlushAtStop).count())};
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
    loop->adopt(std::move(connection));
}

void LinkLoop::Impl::adopt(std::unique_ptr<Connection> connection)
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

void LinkLoop::Impl::sendQueued()
{
    for (const Outbound &item : outbound_.popAll(Microseconds(0))) {
        std::visit([this](const auto &each) { sendOne(each); }, item);
    }
}

void LinkLoop::Impl::sendOne(const ToLink &item)
{
    if (const auto found = links_.find(item.link); found != links_.end()) {
        write(*found->second, item.message);
    }
}

void LinkLoop::Impl::sendOne(const ToPeer &item)
{
    if (Connection *connection = connectionTo(item.address)) {
        write(*connection, item.message);
    } else {
        handlers_.onPeerClosed(item.address);
    }
}

void LinkLoop::Impl::sendOne(const Reset &item)
{
    brokenAt_.erase(item.address);
    const auto found = peers_.find(item.address);
    if (found == peers_.end()) {
        return;
    }
    const linger atOnce{1, 0};
    bufferevent *stream = found->second->stream;
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    bufferevent_free(stream);
    peers_.erase(found);
}

LinkLoop::Impl::Connection *LinkLoop::Impl::connectionTo(const std::string &address)
{
    if (const auto found = peers_.find(address); found != peers_.end()) {
        return found->second.get();
    }
    const auto broken = brokenAt_.find(address);
    if (broken != brokenAt_.end() && std::chrono::steady_clock::now() - broken->second < ReconnectPause) {
        return nullptr;
    }
    try {
        Address target = parseAddress(address);
        auto connection = std::make_unique<Connection>();
        connection->loop = this;
        connection->address = address;
        connection->stream = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
        auto *where = reinterpret_cast<sockaddr *>(&target.storage);
        if (bufferevent_socket_connect(connection->stream, where, target.length) != 0) {
            bufferevent_free(connection->stream);
            brokenAt_[address] = std::chrono::steady_clock::now();
            return nullptr;
        }
        Connection *raw = connection.get();
        adopt(std::move(connection));
        return raw;
    } catch (const Error &error) {
        spdlog::warn("event=bad_peer_address reason=\"{}\"", error.what());
        return nullptr;
    }
}

void LinkLoop::Impl::write(Connection &connection, const Message &message)
{
    const std::string body = encodeMessage(message);
    evbuffer *output = bufferevent_get_output(connection.stream);
    if (body.size() > MaxMessageBytes || evbuffer_get_length(output) + body.size() > MaxUnsentBytes) {
        spdlog::warn("event=link_overrun peer={} link={} bytes={}", connection.address, connection.link, body.size());
        close(connection);
        return;
    }
    uint32_t length = htonl(static_cast<uint32_t>(body.size()));
    std::array<iovec, 2> parts{iovec{&length, HeaderBytes}, iovec{const_cast<char *>(body.data()), body.size()}};
    const bool isFirst = connection.isConnected && evbuffer_get_length(output) == 0;
    size_t written = isFirst ? writeAtOnce(connection, parts) : 0;
    for (const iovec &part : parts) {
        const size_t done = std::min(written, part.iov_len);
        evbuffer_add(output, static_cast<const char *>(part.iov_base) + done, part.iov_len - done);
        written -= done;
    }
    ++traffic.messagesOut;
    traffic.bytesOut += HeaderBytes + body.size();
}

/**
 * Writes what the socket takes now, without a turn of the loop; returns the number of bytes. An error is left
 * for the loop to find, with the rest.
 */
size_t LinkLoop::Impl::writeAtOnce(const Connection &connection, const std::array<iovec, 2> &parts)
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
        spdlog::warn(
            "event=bad_message peer={} link={} reason=\"{}\"", connection->address, connection->link, error.what());
        loop->close(*connection);
    }
}

bool LinkLoop::Impl::readFrame(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.stream);
    uint32_t header = 0;
    if (evbuffer_copyout(input, &header, HeaderBytes) < static_cast<ev_ssize_t>(HeaderBytes)) {
        return false;
    }
    const size_t length = ntohl(header);
    if (length > MaxMessageBytes) {
        throw Error(ErrorKind::TooLarge, "message", "is over the bound", "run the same release on both sides");
    }
    if (evbuffer_get_length(input) < HeaderBytes + length) {
        return false;
    }
    evbuffer_drain(input, HeaderBytes);
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    Message message = decodeMessage(std::string_view(bytes, length));
    evbuffer_drain(input, length);
    ++traffic.messagesIn;
    traffic.bytesIn += HeaderBytes + length;
    if (connection.link == LocalLink) {
        handlers_.onPeerMessage(connection.address, std::move(message));
    } else {
        handlers_.onLinkMessage(connection.link, std::move(message));
    }
    return true;
}

void LinkLoop::Impl::onStreamEvent(bufferevent *stream, short what, void *context)
{
    auto *connection = static_cast<Connection *>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->isConnected = true;
        setNoDelay(stream);
    } else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
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
    brokenAt_[address] = std::chrono::steady_clock::now();
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
    impl_->send(ToLink{link, std::move(message)});
}

void LinkLoop::sendToPeer(std::string address, Message message)
{
    impl_->send(ToPeer{std::move(address), std::move(message)});
}

void LinkLoop::resetPeer(std::string address)
{
    impl_->send(Reset{std::move(address)});
}

const LinkTraffic &LinkLoop::traffic() const
{
    return impl_->traffic;
}

} // namespace marjoramferry
