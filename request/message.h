#pragma once

#include <messages_types.h>

#include <variant>

namespace marjoramferry {

/** What one process of the system can say to another. */
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

/** Lets std::visit take one lambda for each alternative. */
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace marjoramferry
