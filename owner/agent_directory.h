#pragma once

#include "core/time.h"
#include "owner/entry_command.h"
#include "version/catalog.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

/** An entry's view of one connected agent and its endpoint. */
struct AgentView
{
    std::string name;
    std::string incarnation;
    int64_t registration = 0; ///< Zero until the agent is registered in the table service.
    LinkId link = LocalLink;
    std::string endpoint;
    std::string service;
    std::string domain;
    int slots = 0;
    wire::Needs capacity;
    int64_t noteVersion = 0;
    bool leaving = false;
    MonotonicTime lastMessageAt;

    int64_t lastSentAtUs = 0; ///< The agent's clock when it sent its last message, in microseconds.
    MonotonicTime lastReceivedAt; ///< When that message was received.

    int reportedFreeSlots = 0;
    int64_t startsSeen = 0; ///< Starts received by the agent as of its last message.
    int64_t startsSent = 0; ///< Starts sent over this link.

    MonotonicTime blockedUntil; ///< No starts are sent before this time, after a refusal or repeated failures.
    int consecutiveFailures = 0;

    /** Reported free slots minus the starts that the agent had not received when it reported them. */
    int freeSlots() const
    {
        return reportedFreeSlots - static_cast<int>(startsSent - startsSeen);
    }

    /** Returns whether its last tasks failed often enough in a row that it gets only one probe task at a time. */
    bool isOnProbation() const;

    /** Returns whether the endpoint has the capacity for a task with these needs. */
    bool fits(const wire::Needs &needs) const;
};

struct DirectoryTiming
{
    Milliseconds agentTimeout{5000}; ///< An agent without a message for longer than this is lost.
    Milliseconds refusalBackoff{50}; ///< Backoff after a refusal for a reason other than load or lateness.
    Milliseconds initialProbationBackoff{1000}; ///< Backoff of a failing agent; it doubles with each further failure.
    Milliseconds maxProbationBackoff{30'000}; ///< Upper limit of that backoff.
};

/** The agents that sent a heartbeat over a connection that is still open. */
class AgentDirectory
{
public:
    explicit AgentDirectory(DirectoryTiming timing);

    /**
     * Updates the agent from a heartbeat. Returns the view that was replaced if it belonged to
     * another incarnation or link. A heartbeat without info is ignored on a link that has not sent
     * info before.
     */
    std::optional<AgentView> update(LinkId link, const wire::Heartbeat &heartbeat, MonotonicTime now);

    /** Updates the agent's load and failure count from a report. */
    void recordReport(const wire::TaskReport &report, MonotonicTime now);

    void recordStartsSent(const std::string &agent, int count);

    /** Removes the agent that is connected through the link. */
    std::optional<AgentView> removeLink(LinkId link);

    /** Removes the agents that have timed out. */
    std::vector<AgentView> removeTimedOut(MonotonicTime now);

    const AgentView *find(const std::string &agent) const;

    /**
     * Agents of the service that can be sent a start now: registered, not leaving, allowed by the
     * catalog, not blocked and with a free slot. One on probation is included only while idle.
     */
    std::vector<const AgentView *>
    availableAgents(const std::string &service, const Catalog &catalog, MonotonicTime now) const;

    /** Returns whether any agent of the service has the capacity for a task with these needs. */
    bool hasAgentFitting(const std::string &service, const wire::Needs &needs) const;

    /** Total slots of the agents of the service that are not leaving and are allowed by the catalog. */
    int usableSlots(const std::string &service, const Catalog &catalog) const;

    const std::map<std::string, AgentView> &all() const
    {
        return agents_;
    }

private:
    static void updateInfo(AgentView &view, const wire::AgentInfo &info);
    static void updateLastMessage(AgentView &view, int64_t sentAtUs, MonotonicTime now);
    void recordOutcome(AgentView &view, const wire::TaskReport &report, MonotonicTime now) const;

    const DirectoryTiming timing_;
    std::map<std::string, AgentView> agents_; ///< By name.
    absl::flat_hash_map<LinkId, std::string> namesByLink_;
};

} // namespace marjoramferry
