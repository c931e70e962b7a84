#pragma once

#include "request/message.h"

#include <string>
#include <string_view>

namespace marjoramferry {

/** The largest message that is sent or taken, in bytes. */
inline constexpr size_t MaxMessageBytes = 64U << 20U;

/** The message in Thrift's compact protocol. */
std::string encodeMessage(const Message &message);

/** Throws Malformed for bytes that are no message. */
Message decodeMessage(std::string_view bytes);

} // namespace marjoramferry
