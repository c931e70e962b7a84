#pragma once

#include <messages_types.h>

#include <variant>

namespace marjoramferry {

/** A message between two processes of the system. */
using Message = std::variant<wire::SubmitJob,
                             wire::LookupJob,
                             wire::OwnerReply,
                             wire::Heartbeat,
                             wire::HeartbeatReply,
                             wire::StartTasks,
                             wire::TaskReport,
                             wire::Fence,
                             wire::StartRecords,
                             wire::ResolveTasks,
                             wire::EntryBatch,
                             wire::AgentBatch>;

/** Overload set for std::visit with one lambda per alternative. */
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace marjoramferry
