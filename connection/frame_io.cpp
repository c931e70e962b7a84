#include "connection/frame_io.h"

#include "connection/message_codec.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>

namespace marjoramferry {

namespace {

/**
 * Writes as much as the socket accepts without waiting for a loop iteration, and returns the number of bytes
 * written. Errors are ignored: the event loop sees them when it writes the rest.
 */
size_t writeDirectly(bufferevent *stream, const std::array<iovec, 2> &parts)
{
    msghdr message{};
    message.msg_iov = const_cast<iovec *>(parts.data());
    message.msg_iovlen = parts.size();
    const ssize_t sent = sendmsg(bufferevent_getfd(stream), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    return static_cast<size_t>(std::max<ssize_t>(sent, 0));
}

} // namespace

std::optional<size_t> peekMessageLength(evbuffer *input)
{
    uint32_t header = 0;
    if (evbuffer_copyout(input, &header, FrameHeaderBytes) < static_cast<ev_ssize_t>(FrameHeaderBytes)) {
        return std::nullopt;
    }
    const size_t length = ntohl(header);
    if (length > MaxMessageBytes) {
        throw Error(ErrorKind::TooLarge,
                    "message",
                    absl::StrCat("has ", length, " bytes, more than the limit of ", MaxMessageBytes),
                    "run the same release on both sides");
    }
    return length;
}

Message takeMessage(evbuffer *input, size_t length)
{
    evbuffer_drain(input, FrameHeaderBytes);
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    Message message = decodeMessage(std::string_view(bytes, length));
    evbuffer_drain(input, length);
    return message;
}

void writeFrame(bufferevent *stream, bool isConnected, const std::string &body)
{
    evbuffer *output = bufferevent_get_output(stream);
    uint32_t length = htonl(static_cast<uint32_t>(body.size()));
    const std::array<iovec, 2> parts{iovec{&length, FrameHeaderBytes},
                                     iovec{const_cast<char *>(body.data()), body.size()}};
    const bool canWriteDirectly = isConnected && evbuffer_get_length(output) == 0;
    size_t written = canWriteDirectly ? writeDirectly(stream, parts) : 0;
    for (const iovec &part : parts) {
        const size_t done = std::min(written, part.iov_len);
        evbuffer_add(output, static_cast<const char *>(part.iov_base) + done, part.iov_len - done);
        written -= done;
    }
}

} // namespace marjoramferry
