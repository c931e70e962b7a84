#include "connection/listen_address.h"

#include "core/error.h"

#include <event2/util.h>

namespace marjoramferry {

SocketAddress parseSocketAddress(const std::string &text)
{
    SocketAddress address;
    if (evutil_parse_sockaddr_port(text.c_str(), address.get(), &address.length) != 0) {
        throw Error(ErrorKind::Settings,
                    text,
                    "is not a valid address",
                    "use an IP address and a port, such as 127.0.0.1:7100");
    }
    return address;
}

} // namespace marjoramferry
