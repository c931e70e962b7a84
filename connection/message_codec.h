#pragma once

#include "event/message.h"

#include <string>
#include <string_view>

namespace marjoramferry {

/** The size limit of an encoded message, for sending and receiving. */
inline constexpr size_t MaxMessageBytes = 64U << 20U;

/** Encodes a message in Thrift's compact protocol. */
std::string encodeMessage(const Message &message);

/** Throws Malformed if the bytes are not a valid message. */
Message decodeMessage(std::string_view bytes);

} // namespace marjoramferry
