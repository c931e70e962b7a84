#pragma once

#include "event/message.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <optional>
#include <string>

/** A frame is a 4-byte big-endian length followed by one encoded message. */
namespace marjoramferry {

inline constexpr size_t FrameHeaderBytes = 4;

/** Returns the length of the message that comes next, or nothing if its header is incomplete. Throws TooLarge. */
std::optional<size_t> peekMessageLength(evbuffer *input);

/** Removes the next message, which must be complete, from the buffer. Throws Malformed. */
Message takeMessage(evbuffer *input, size_t length);

/** Appends a frame to the stream's output. Writes to the socket first if nothing waits there and it is connected. */
void writeFrame(bufferevent *stream, bool isConnected, const std::string &body);

} // namespace marjoramferry
