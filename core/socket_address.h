#pragma once

#include <string>

namespace marjoramferry {

/** Whether @p text is an IP address and a port from 1 to 65535, such as 127.0.0.1:7100 or [::1]:7100. */
bool isSocketAddress(const std::string &text);

} // namespace marjoramferry
