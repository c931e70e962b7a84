#include "owner/unreachable_agents.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
const AgentIncarnation First{"agent-1", "first"};
const AgentIncarnation Second{"agent-1", "second"};

} // namespace

// Guards against agents that are declared lost early, or twice.
TEST_CASE("An agent is lost once it has been unreachable for the timeout, and only once")
{
    UnreachableAgents agents(Milliseconds(100));
    agents.add(First, Start);
    CHECK_FALSE(agents.takeLost(Start + Milliseconds(99)));
    CHECK(agents.takeLost(Start + Milliseconds(100)) == First);
    CHECK_FALSE(agents.takeLost(Start + Milliseconds(100)));
}

// Guards against a timeout that starts anew with each question to an agent that is gone.
TEST_CASE("An agent that is known to be unreachable keeps its timeout unless it became unreachable again")
{
    UnreachableAgents agents(Milliseconds(100));
    agents.add(First, Start);
    agents.addIfAbsent(Second, Start + Milliseconds(50));
    CHECK(agents.takeLost(Start + Milliseconds(100)) == First);
    agents.add(First, Start);
    agents.add(Second, Start + Milliseconds(50));
    CHECK_FALSE(agents.takeLost(Start + Milliseconds(100)));
    CHECK(agents.takeLost(Start + Milliseconds(150)) == Second);
}

// Guards against an agent that is declared lost although it is connected again.
TEST_CASE("An agent that reconnected is not lost, and its former incarnation is known")
{
    UnreachableAgents agents(Milliseconds(100));
    agents.add(First, Start);
    CHECK(agents.remove("agent-1") == First);
    CHECK_FALSE(agents.remove("agent-1"));
    CHECK_FALSE(agents.takeLost(Start + Milliseconds(1000)));
}
