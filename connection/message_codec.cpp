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

wire::Envelope wrap(const Message &message)
{
    wire::Envelope envelope;
    std::visit(Overloaded{
                   [&](const wire::SubmitJob &each) { envelope.__set_submitJob(each); },
                   [&](const wire::LookupJob &each) { envelope.__set_lookupJob(each); },
                   [&](const wire::OwnerReply &each) { envelope.__set_ownerReply(each); },
                   [&](const wire::Heartbeat &each) { envelope.__set_heartbeat(each); },
                   [&](const wire::HeartbeatReply &each) { envelope.__set_heartbeatReply(each); },
                   [&](const wire::StartTasks &each) { envelope.__set_startTasks(each); },
                   [&](const wire::TaskReport &each) { envelope.__set_taskReport(each); },
                   [&](const wire::Fence &each) { envelope.__set_fence(each); },
                   [&](const wire::StartRecords &each) { envelope.__set_startRecords(each); },
                   [&](const wire::ResolveTasks &each) { envelope.__set_resolveTasks(each); },
                   [&](const wire::EntryBatch &each) { envelope.__set_entryBatch(each); },
                   [&](const wire::AgentBatch &each) { envelope.__set_agentBatch(each); },
               },
               message);
    return envelope;
}

Error malformed(const std::string &problem)
{
    return Error(ErrorKind::Malformed, "message", problem, "run the same release on both sides");
}

Message unwrap(wire::Envelope &&envelope)
{
    const auto &has = envelope.__isset;
    if (has.submitJob) {
        return std::move(envelope.submitJob);
    }
    if (has.lookupJob) {
        return std::move(envelope.lookupJob);
    }
    if (has.ownerReply) {
        return std::move(envelope.ownerReply);
    }
    if (has.heartbeat) {
        return std::move(envelope.heartbeat);
    }
    if (has.heartbeatReply) {
        return std::move(envelope.heartbeatReply);
    }
    if (has.startTasks) {
        return std::move(envelope.startTasks);
    }
    if (has.taskReport) {
        return std::move(envelope.taskReport);
    }
    if (has.fence) {
        return std::move(envelope.fence);
    }
    if (has.startRecords) {
        return std::move(envelope.startRecords);
    }
    if (has.resolveTasks) {
        return std::move(envelope.resolveTasks);
    }
    if (has.entryBatch) {
        return std::move(envelope.entryBatch);
    }
    if (has.agentBatch) {
        return std::move(envelope.agentBatch);
    }
    throw malformed("is of no known kind");
}

} // namespace

std::string encodeMessage(const Message &message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    wrap(message).write(&protocol);
    return buffer->getBufferAsString();
}

Message decodeMessage(std::string_view bytes)
{
    try {
        // The buffer is only read; Thrift's interface takes it as writable.
        auto *data = reinterpret_cast<uint8_t *>(const_cast<char *>(bytes.data()));
        auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()));
        Protocol protocol(buffer, static_cast<int32_t>(MaxMessageBytes), MaxContainerItems);
        wire::Envelope envelope;
        envelope.read(&protocol);
        return unwrap(std::move(envelope));
    } catch (const apache::thrift::TException &failure) {
        throw malformed(failure.what());
    }
}

} // namespace marjoramferry
