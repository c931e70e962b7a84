#pragma once

#include "core/table.h"
#include "event/http_event.h"
#include "event/link_event.h"
#include "event/log_event.h"
#include "event/outbox.h"
#include "event/process_event.h"

#include <cstdint>
#include <variant>

namespace marjoramferry {

/** The module of the entry that made a table call and receives its result. */
enum class TableCaller { ClusterState, Claims, Recovery, Publisher, Registrar };

struct TableCall
{
    TableCaller caller = TableCaller::ClusterState;
    int64_t callId = 0; ///< Chosen by the caller and returned with the result.
    TableRequest request;
};

using EntryCommand = std::variant<SendToLink, SendToPeer, HttpResponse, TableCall, LogEvent, Observation, Stop>;

using EntryOutbox = Outbox<EntryCommand>;

} // namespace marjoramferry
