#include "core/socket_address.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <arpa/inet.h>

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int MaxPort = 65'535;

bool isPort(const std::string &text)
{
    int port = 0;
    return std::ranges::all_of(text, absl::ascii_isdigit) && absl::SimpleAtoi(text, &port) && port >= 1
        && port <= MaxPort;
}

bool isHost(const std::string &text, int family)
{
    in6_addr address{};
    return text.find('\0') == std::string::npos && inet_pton(family, text.c_str(), &address) == 1;
}

} // namespace

bool isSocketAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || !isPort(text.substr(colon + 1))) {
        return false;
    }
    const std::string host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return isBracketed ? isHost(host.substr(1, host.size() - 2), AF_INET6) : isHost(host, AF_INET);
}

} // namespace marjoramferry
