#include "core/socket_address.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("An address is an IP address and a port from 1 to 65535")
{
    for (const char *valid : {"127.0.0.1:1", "10.0.0.1:65535", "[::1]:7100"}) {
        CHECK(isSocketAddress(valid));
    }
    for (const char *invalid : {"",
                                ":80",
                                "10.0.0.1",
                                "10.0.0.1:",
                                "10.0.0.1:0",
                                "10.0.0.1:65536",
                                "10.0.0.1:99999999999999999999",
                                "10.0.0.1:-1",
                                "10.0.0.1:+80",
                                "10.0.0.1:80x",
                                "10.0.0.1:8 0",
                                "10.0.0.1.2:80",
                                "::1:80",
                                "[::1:80",
                                "[10.0.0.1]:80",
                                "host:80",
                                "http://10.0.0.1:80"}) {
        INFO(invalid);
        CHECK_FALSE(isSocketAddress(invalid));
    }
    CHECK_FALSE(isSocketAddress(std::string("10.0.0.1\0:80", 12)));
}
