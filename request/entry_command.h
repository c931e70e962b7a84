#pragma once

#include "core/table.h"
#include "core/time.h"
#include "request/agent_core.h"
#include "request/log_event.h"
#include "request/message.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace marjoramferry {

/** Identifies an open inbound connection. Zero stands for this process. */
using LinkId = uint64_t;
inline constexpr LinkId LocalLink = 0;

/** The module of the entry that made a table call and receives its result. */
enum class TableCaller { ClusterState, Claims, Recovery, Publisher, Registrar };

struct SendToLink
{
    LinkId link = LocalLink;
    Message message;
};

struct HttpResponse
{
    uint64_t token = 0;
    int status = 200;
    std::string body;
    int retryAfterMs = 0; ///< Sent as the Retry-After header when above zero.
    std::string contentType = "application/json";
    bool closesConnection = false; ///< Closes the connection after this response.
};

struct TableCall
{
    TableCaller caller = TableCaller::ClusterState;
    int64_t callId = 0; ///< Chosen by the caller and returned with the result.
    TableRequest request;
};

using EntryCommand = std::variant<SendToLink, SendToPeer, HttpResponse, TableCall, LogEvent, Observation, Stop>;

/** Collects the commands that the modules of an entry issue. */
class EntryOutbox
{
public:
    template<typename Command>
    void add(Command command)
    {
        commands_.emplace_back(std::move(command));
    }

    void log(LogEvent::Level level, std::string event, std::vector<LogField> fields)
    {
        add(LogEvent{level, std::move(event), std::move(fields)});
    }

    std::vector<EntryCommand> take()
    {
        return std::exchange(commands_, {});
    }

private:
    std::vector<EntryCommand> commands_;
};

} // namespace marjoramferry
