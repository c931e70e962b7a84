#include "connection/message_codec.h"

#include "core/error.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

namespace marjoramferry {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr int MaxContainerItems = 2'000'000;

wire::Envelope toEnvelope(const Message &message)
{
    wire::Envelope envelope;
    std::visit(Overloaded{
                   [&](const wire::SubmitJob &value) { envelope.__set_submitJob(value); },
                   [&](const wire::LookupJob &value) { envelope.__set_lookupJob(value); },
                   [&](const wire::OwnerReply &value) { envelope.__set_ownerReply(value); },
                   [&](const wire::Heartbeat &value) { envelope.__set_heartbeat(value); },
                   [&](const wire::HeartbeatReply &value) { envelope.__set_heartbeatReply(value); },
                   [&](const wire::StartTasks &value) { envelope.__set_startTasks(value); },
                   [&](const wire::TaskReport &value) { envelope.__set_taskReport(value); },
                   [&](const wire::Fence &value) { envelope.__set_fence(value); },
                   [&](const wire::StartRecords &value) { envelope.__set_startRecords(value); },
                   [&](const wire::ResolveTasks &value) { envelope.__set_resolveTasks(value); },
                   [&](const wire::EntryBatch &value) { envelope.__set_entryBatch(value); },
                   [&](const wire::AgentBatch &value) { envelope.__set_agentBatch(value); },
               },
               message);
    return envelope;
}

Error malformedError(const std::string &problem)
{
    return Error(ErrorKind::Malformed, "message", problem, "run the same release on both sides");
}

Message fromEnvelope(wire::Envelope &&envelope)
{
    const auto &isSet = envelope.__isset;
    if (isSet.submitJob) {
        return std::move(envelope.submitJob);
    }
    if (isSet.lookupJob) {
        return std::move(envelope.lookupJob);
    }
    if (isSet.ownerReply) {
        return std::move(envelope.ownerReply);
    }
    if (isSet.heartbeat) {
        return std::move(envelope.heartbeat);
    }
    if (isSet.heartbeatReply) {
        return std::move(envelope.heartbeatReply);
    }
    if (isSet.startTasks) {
        return std::move(envelope.startTasks);
    }
    if (isSet.taskReport) {
        return std::move(envelope.taskReport);
    }
    if (isSet.fence) {
        return std::move(envelope.fence);
    }
    if (isSet.startRecords) {
        return std::move(envelope.startRecords);
    }
    if (isSet.resolveTasks) {
        return std::move(envelope.resolveTasks);
    }
    if (isSet.entryBatch) {
        return std::move(envelope.entryBatch);
    }
    if (isSet.agentBatch) {
        return std::move(envelope.agentBatch);
    }
    throw malformedError("has no known type");
}

} // namespace

std::string encodeMessage(const Message &message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    toEnvelope(message).write(&protocol);
    return buffer->getBufferAsString();
}

Message decodeMessage(std::string_view bytes)
{
    try {
        // The buffer is only read, but Thrift's interface requires a non-const pointer.
        auto *data = reinterpret_cast<uint8_t *>(const_cast<char *>(bytes.data()));
        auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()));
        Protocol protocol(buffer, static_cast<int32_t>(MaxMessageBytes), MaxContainerItems);
        wire::Envelope envelope;
        envelope.read(&protocol);
        return fromEnvelope(std::move(envelope));
    } catch (const apache::thrift::TException &failure) {
        throw malformedError(failure.what());
    }
}

} // namespace marjoramferry
