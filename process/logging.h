#pragma once

#include "event/log_event.h"

#include <string>

namespace marjoramferry {

/** Logs to standard error, with one line of key=value pairs per event. */
void setUpLogging(const std::string &process, const std::string &level);

/**
 * Logs to standard output through a bounded queue and a writer thread, so that a slow reader of the log never
 * blocks the calling thread. Lines that don't fit into the queue are dropped and counted.
 */
void setUpAsyncLogging(const std::string &process, const std::string &level);

/** Writes the queued lines. Must be called before the process exits. */
void flushLogging();

void setLogLevel(const std::string &level);

void writeLog(const LogEvent &event);

} // namespace marjoramferry
