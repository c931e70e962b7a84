#pragma once

#include "core/listener_budget.h"

#include <compare>
#include <cstddef>

namespace marjoramferry {

/** What the process may use of its machine, and how long its clients may take. */
struct ClientSettings
{
    size_t machineMemoryBytes = size_t{512} << 20U;
    size_t descriptors = 8192;
    Milliseconds idleTimeout{60'000}; ///< As ListenerLimits::idleTimeout.
    Milliseconds transferTimeout{30'000}; ///< As ListenerLimits::transferTimeout.

    auto operator<=>(const ClientSettings &) const = default;
};

/** The limits of each listener of a process. A role without one of them leaves its share unused. */
struct ClientLimits
{
    ListenerLimits calls; ///< Of callers, workers and endpoints.
    ListenerLimits readiness;
    ListenerLimits metrics;
    ListenerLimits links; ///< Of other processes of the system; without the messages that wait to be sent.
    size_t unsentLinkBytes = 0; ///< Sum of the messages that wait to be sent over all links.

    auto operator<=>(const ClientLimits &) const = default;

    /** The most that all clients hold together. */
    size_t totalBytes() const
    {
        return calls.memoryBytes + readiness.memoryBytes + metrics.memoryBytes + links.memoryBytes + unsentLinkBytes;
    }

    size_t totalConnections() const
    {
        return calls.connections + readiness.connections + metrics.connections + links.connections;
    }
};

/** Divides a share of the machine among the listeners. Throws Settings if it is too small for them. */
ClientLimits divideClientLimits(const ClientSettings &settings);

/** The number of descriptors that the system grants this process. */
size_t systemDescriptorLimit();

} // namespace marjoramferry
