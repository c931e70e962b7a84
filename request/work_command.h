#pragma once

#include "event/link_event.h"
#include "event/log_event.h"
#include "event/outbox.h"

#include <variant>

namespace marjoramferry {

/** A command that a module of a WorkEntry issues. */
using WorkCommand = std::variant<SendToLink, CloseLink, LogEvent, Observation>;

using WorkOutbox = Outbox<WorkCommand>;

} // namespace marjoramferry
