#pragma once

#include <sys/socket.h>

#include <string>

namespace marjoramferry {

/** An IP address and a port, as the socket functions take them. */
struct SocketAddress
{
    sockaddr_storage storage{};
    int length = sizeof(sockaddr_storage);

    sockaddr *get()
    {
        return reinterpret_cast<sockaddr *>(&storage);
    }
};

/** Throws Settings if @p text is not an IP address and a port. */
SocketAddress parseSocketAddress(const std::string &text);

} // namespace marjoramferry
