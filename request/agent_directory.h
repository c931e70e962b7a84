#pragma once

#include "core/time.h"
#include "request/entry_command.h"
#include "version/catalog.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** What an owner knows of one agent and the endpoint beside it. */
struct AgentView
{
    std::string name;
    std::string incarnation;
    int64_t registration = 0; ///< Zero until the agent is registered at the table service.
    LinkId link = LocalLink;
    std::string endpoint;
    std::string service;
    std::string domain;
    int slots = 0;
    wire::Needs capacity;
    int64_t noteVersion = 0;
    bool leaving = false;
    MonotonicTime lastHeard;

    int64_t lastSentAtUs = 0; ///< The agent's clock when it sent its last message.
    MonotonicTime lastReceivedAt; ///< When that message came in.

    int freeReported = 0;
    int64_t startsSeen = 0; ///< Starts that the agent had seen at its last report.
    int64_t startsSent = 0; ///< Starts sent over this link.

    MonotonicTime blockedUntil; ///< After a refusal or a run of failures.
    int failuresInRow = 0;

    /** Free slots after the starts that are still on their way. */
    int freeSlots() const
    {
        return freeReported - static_cast<int>(startsSent - startsSeen);
    }

    bool isOnProbation() const;

    /** Whether a task with these needs can ever run here. */
    bool fits(const wire::Needs &needs) const;
};

struct DirectoryTiming
{
    Milliseconds silence{5000}; ///< An agent not heard of for so long is lost.
    Milliseconds refusalPause{50}; ///< No start for so long after a refusal that is not about slots.
    Milliseconds probationStep{1000}; ///< First pause of a worker that fails all it starts; it doubles.
    Milliseconds probationMost{30'000};
};

/** The agents that announced themselves over links that live. */
class AgentDirectory
{
public:
    explicit AgentDirectory(DirectoryTiming timing);

    /**
     * Takes in a heartbeat. Returns the view that it replaced, if that was of another incarnation or link.
     * A heartbeat without info from a link that never sent any is ignored.
     */
    std::optional<AgentView> update(LinkId link, const wire::Heartbeat &heartbeat, MonotonicTime now);

    /** Takes in the load and the outcome of a report. */
    void recordReport(const wire::TaskReport &report, MonotonicTime now);

    void recordStartsSent(const std::string &agent, int count);

    /** Removes the agent behind the link. */
    std::optional<AgentView> removeLink(LinkId link);

    /** Removes the agents that fell silent. */
    std::vector<AgentView> removeTimedOut(MonotonicTime now);

    const AgentView *find(const std::string &agent) const;

    /** Agents of the service that may get work now: announced, allowed, not blocked, with a free slot. */
    std::vector<const AgentView *>
    availableAgents(const std::string &service, const Catalog &catalog, MonotonicTime now) const;

    /** Whether any agent of the service could ever run a task with these needs. */
    bool hasAgentFitting(const std::string &service, const wire::Needs &needs) const;

    /** Slots of all agents of the service that operators let work. */
    int usableSlots(const std::string &service, const Catalog &catalog) const;

    const std::map<std::string, AgentView> &all() const
    {
        return agents_;
    }

private:
    static void noteInfo(AgentView &view, const wire::AgentInfo &info);
    static void noteHeard(AgentView &view, int64_t sentAtUs, MonotonicTime now);
    void noteOutcome(AgentView &view, const wire::TaskReport &report, MonotonicTime now) const;

    const DirectoryTiming timing_;
    std::map<std::string, AgentView> agents_; ///< By name.
    absl::flat_hash_map<LinkId, std::string> byLink_;
};

} // namespace marjoramferry
