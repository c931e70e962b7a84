#pragma once

#include "event/message.h"

#include <cstdint>
#include <string>

/** Events and commands of the connections between processes: inbound ones (links) and outbound ones (peers). */
namespace marjoramferry {

/** Identifies an open inbound connection. Zero stands for this process. */
using LinkId = uint64_t;
inline constexpr LinkId LocalLink = 0;

struct SendToLink
{
    LinkId link = LocalLink;
    Message message;
};

struct CloseLink
{
    LinkId link = LocalLink;
};

struct LinkMessage
{
    LinkId link = LocalLink;
    Message message;
};

struct LinkClosed
{
    LinkId link = LocalLink;
};

struct SendToPeer
{
    std::string address;
    Message message;
};

/** Closes the connection to a peer and discards unsent messages. */
struct ResetPeer
{
    std::string address;
};

struct PeerMessage
{
    std::string address;
    Message message;
};

struct PeerClosed
{
    std::string address;
};

} // namespace marjoramferry
