#pragma once

#include "request/log_event.h"

#include <string>

namespace marjoramferry {

/** Sends log lines to standard error, one line of key=value pairs for each event. */
void setUpLogging(const std::string &process, const std::string &level);

/**
 * Sends log lines to standard output through a bounded queue and a thread of its own, so that no
 * decision waits for a slow reader. Lines beyond the queue are dropped and counted.
 */
void setUpQueuedLogging(const std::string &process, const std::string &level);

/** Writes out what is queued. To be called before the process ends. */
void finishLogging();

void setLogLevel(const std::string &level);

void writeLog(const LogEvent &event);

} // namespace marjoramferry
