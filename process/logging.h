#pragma once

#include "request/log_event.h"

#include <string>

namespace marjoramferry {

/** Sends log lines to standard error, one line of key=value pairs for each event. */
void setUpLogging(const std::string &process, const std::string &level);

void setLogLevel(const std::string &level);

void writeLog(const LogEvent &event);

} // namespace marjoramferry
