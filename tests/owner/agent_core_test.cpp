#include "owner/agent_core.h"

#include <catch2/catch.hpp>

#include <ranges>

using namespace marjoramferry;

namespace {

constexpr int Shard = 3;
const std::string Entry = "127.0.0.1:7400";

/** A registered agent with fresh evidence, an endpoint with two slots and the catalog of note version 1. */
class Fixture
{
public:
    explicit Fixture(int64_t registration = 77)
    {
        EndpointAnnouncement announcement;
        announcement.name = "runner";
        announcement.service = "orders";
        announcement.slots = 2;
        send(announcement);
        catalog_.version = 1;
        catalog_.services.insert("orders");
        catalog_.domains["cali"] = DomainState{true};
        sendHeartbeatReply(registration);
    }

    std::vector<AgentCommand> send(const AgentEvent &event)
    {
        return agent_.handle(event, now_);
    }

    /** Delivers a heartbeat reply that echoes the current time, with evidence that is @p ageMs old. */
    void sendHeartbeatReply(int64_t registration, int ageMs = 0, int64_t epoch = 1)
    {
        wire::HeartbeatReply reply;
        wire::Evidence evidence;
        evidence.echoedSentAtUs = std::chrono::duration_cast<Microseconds>(now_.time_since_epoch()).count();
        evidence.noteVersion = catalog_.version;
        evidence.ageUs = int64_t{ageMs} * 1000;
        reply.__set_evidence(evidence);
        reply.noteVersion = catalog_.version;
        reply.__set_catalog(catalog_.toJson());
        reply.registration = registration;
        reply.ownershipVersion = epoch;
        wire::ShardEpoch shardEpoch;
        shardEpoch.shard = Shard;
        shardEpoch.epoch = epoch;
        reply.__set_owners({});
        reply.__set_epochs({shardEpoch});
        send(PeerMessage{Entry, reply});
    }

    wire::StartTasks start(const std::string &taskId, int64_t epoch = 1)
    {
        wire::StartTasks message;
        message.jobId = "job";
        message.serviceName = "orders";
        message.tenant = "talleres";
        message.shard = Shard;
        message.epoch = epoch;
        message.sequence = ++sequence_;
        message.remainingMs = 1000;
        message.incarnation = "agent-1";
        wire::Task task;
        task.taskId = taskId;
        task.payload = "1";
        message.tasks.push_back(task);
        return message;
    }

    static int countEndpointCalls(const std::vector<AgentCommand> &commands)
    {
        return static_cast<int>(std::ranges::count_if(
            commands, [](const AgentCommand &each) { return std::holds_alternative<CallEndpoint>(each); }));
    }

    /** Returns the refusal reported for a start, or NONE if the endpoint was called. */
    wire::RefusalKind::type refusalOf(const wire::StartTasks &message)
    {
        const auto commands = send(PeerMessage{Entry, message});
        if (countEndpointCalls(commands) > 0) {
            return wire::RefusalKind::NONE;
        }
        for (const AgentCommand &command : commands) {
            const auto *sent = std::get_if<SendToPeer>(&command);
            const auto *report = sent == nullptr ? nullptr : std::get_if<wire::TaskReport>(&sent->message);
            if (report != nullptr) {
                CHECK(report->state == wire::StartState::REFUSED);
                return report->refusal;
            }
        }
        FAIL("no report");
        return wire::RefusalKind::NONE;
    }

protected:
    MonotonicTime now_{std::chrono::hours(1)};
    Catalog catalog_;
    AgentCore agent_{AgentIdentity{"agent", "agent-1", "cali", {Entry}}, AgentTiming(), StartRecordLimits()};
    int64_t sequence_ = 0;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A start calls the endpoint with the expiry of the evidence as the latest send time")
{
    const auto commands = send(PeerMessage{Entry, start("a")});
    REQUIRE(countEndpointCalls(commands) == 1);
    const auto call = std::ranges::find_if(
        commands, [](const AgentCommand &each) { return std::holds_alternative<CallEndpoint>(each); });
    CHECK(std::get<CallEndpoint>(*call).notAfter == now_ + Milliseconds(2000));
}

TEST_CASE_METHOD(Fixture, "Repeated starts of a task call the endpoint once")
{
    CHECK(countEndpointCalls(send(PeerMessage{Entry, start("a")})) == 1);
    CHECK(countEndpointCalls(send(PeerMessage{Entry, start("a")})) == 0);
    CHECK(countEndpointCalls(send(PeerMessage{"127.0.0.1:7401", start("a", 2)})) == 0);
}

TEST_CASE_METHOD(Fixture, "Starts are refused on expired evidence, whether it aged at the agent or before it arrived")
{
    now_ += Milliseconds(1999);
    CHECK(refusalOf(start("a")) == wire::RefusalKind::NONE);
    now_ += Milliseconds(1);
    CHECK(refusalOf(start("b")) == wire::RefusalKind::NOT_FRESH);
    sendHeartbeatReply(0, 2000);
    CHECK(refusalOf(start("b")) == wire::RefusalKind::NOT_FRESH);
    sendHeartbeatReply(0, 1999);
    CHECK(refusalOf(start("b")) == wire::RefusalKind::NONE);
}

TEST_CASE_METHOD(Fixture, "Starts are refused where the current catalog has withdrawn the domain or endpoint")
{
    catalog_.version = 2;
    catalog_.domains["cali"] = DomainState{false};
    sendHeartbeatReply(0);
    CHECK(refusalOf(start("a")) == wire::RefusalKind::WITHDRAWN);
    catalog_.version = 3;
    catalog_.domains["cali"] = DomainState{true};
    catalog_.withdrawnEndpoints.insert("runner");
    sendHeartbeatReply(0);
    CHECK(refusalOf(start("a")) == wire::RefusalKind::WITHDRAWN);
    catalog_.version = 4;
    catalog_.withdrawnEndpoints.clear();
    sendHeartbeatReply(0);
    CHECK(refusalOf(start("a")) == wire::RefusalKind::NONE);
}

TEST_CASE_METHOD(Fixture, "An older catalog is ignored, and evidence for it doesn't permit starts")
{
    catalog_.version = 5;
    catalog_.domains["cali"] = DomainState{false};
    sendHeartbeatReply(0);
    catalog_.version = 4;
    catalog_.domains["cali"] = DomainState{true};
    sendHeartbeatReply(0);
    CHECK(agent_.catalog().version == 5);
    CHECK(refusalOf(start("a")) == wire::RefusalKind::WITHDRAWN);
}

TEST_CASE_METHOD(Fixture, "A start from a previous owner with an older epoch is refused")
{
    sendHeartbeatReply(0, 0, 4);
    CHECK(refusalOf(start("a", 3)) == wire::RefusalKind::STALE_EPOCH);
    CHECK(refusalOf(start("a", 4)) == wire::RefusalKind::NONE);
}

TEST_CASE_METHOD(Fixture, "Starts are refused for another incarnation, without a free slot and on a leaving endpoint")
{
    wire::StartTasks other = start("a");
    other.incarnation = "agent-0";
    CHECK(refusalOf(other) == wire::RefusalKind::OTHER_INCARNATION);
    CHECK(refusalOf(start("a")) == wire::RefusalKind::NONE);
    CHECK(refusalOf(start("b")) == wire::RefusalKind::NONE);
    CHECK(refusalOf(start("c")) == wire::RefusalKind::NO_SLOT);
    send(EndpointResult{TaskKey{"job", "a"}, wire::StartState::SUCCEEDED, "1", 5});
    EndpointAnnouncement leaving;
    leaving.name = "runner";
    leaving.service = "orders";
    leaving.slots = 2;
    leaving.leaving = true;
    send(leaving);
    CHECK(refusalOf(start("c")) == wire::RefusalKind::LEAVING);
}

TEST_CASE("An unregistered agent refuses starts even with fresh evidence")
{
    Fixture fixture(0);
    CHECK(fixture.refusalOf(fixture.start("a")) == wire::RefusalKind::NOT_FRESH);
    fixture.sendHeartbeatReply(78);
    CHECK(fixture.refusalOf(fixture.start("a")) == wire::RefusalKind::NONE);
}
