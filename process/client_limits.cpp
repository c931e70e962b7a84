#include "process/client_limits.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <sys/resource.h>

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr size_t Percent = 100;
constexpr size_t ClientMemoryPercent = 60; ///< Of the machine's memory; the rest is for the process itself.
constexpr size_t LinkMemoryPercent = 15; ///< Of the clients' memory, as the next one.
constexpr size_t UnsentLinkPercent = 10;
constexpr size_t ConnectionMemoryPercent = 60; ///< Of the callers' memory; the rest is for their requests.
constexpr size_t LinkDescriptorPercent = 40; ///< Of the sockets.

constexpr size_t FileDescriptors = 200; ///< Not usable for sockets.
constexpr size_t OutgoingConnections = 64; ///< To the store, workers and other entries.
constexpr size_t OperatorConnections = 32; ///< Of each listener for checks and metrics.

constexpr size_t CallConnectionBytes = size_t{36} << 10U;
constexpr size_t LinkConnectionBytes = size_t{4} << 10U;
constexpr size_t ReadinessMemoryBytes = OperatorConnections * CallConnectionBytes + (size_t{1} << 20U);
constexpr size_t MetricsMemoryBytes = OperatorConnections * CallConnectionBytes + (size_t{4} << 20U);

/** Processes of the system may have nothing to say to each other for long. */
constexpr Milliseconds LinkIdleTimeout = std::chrono::minutes(10);

constexpr size_t MinDescriptors = 500;
constexpr size_t MinMemoryBytes = size_t{32} << 20U;
constexpr size_t MaxDefaultDescriptors = 65'536;

void requireAtLeast(const char *key, size_t value, size_t min, const char *unit)
{
    if (value < min) {
        throw Error(ErrorKind::Settings,
                    absl::StrCat("[machine] ", key),
                    absl::StrCat("is ", value, unit, ", which is too few for this process"),
                    absl::StrCat("use at least ", min, unit));
    }
}

size_t percentOf(size_t whole, size_t percent)
{
    return whole / Percent * percent;
}

} // namespace

ClientLimits divideClientLimits(const ClientSettings &settings)
{
    requireAtLeast("memory", settings.machineMemoryBytes, MinMemoryBytes, " bytes");
    requireAtLeast("descriptors", settings.descriptors, MinDescriptors, "");
    const size_t memory = percentOf(settings.machineMemoryBytes, ClientMemoryPercent);
    const size_t sockets = settings.descriptors - FileDescriptors;

    ListenerLimits common;
    common.bytesPerConnection = CallConnectionBytes;
    common.idleTimeout = settings.idleTimeout;
    common.transferTimeout = settings.transferTimeout;
    ClientLimits limits{common, common, common, common, percentOf(memory, UnsentLinkPercent)};
    limits.readiness.memoryBytes = ReadinessMemoryBytes;
    limits.readiness.connections = OperatorConnections;
    limits.metrics.memoryBytes = MetricsMemoryBytes;
    limits.metrics.connections = OperatorConnections;
    limits.links.memoryBytes = percentOf(memory, LinkMemoryPercent);
    limits.links.bytesPerConnection = LinkConnectionBytes;
    limits.links.idleTimeout = std::max(settings.idleTimeout, LinkIdleTimeout);
    limits.links.connections
        = std::min(percentOf(sockets, LinkDescriptorPercent), limits.links.memoryBytes / 2 / LinkConnectionBytes);
    limits.calls.memoryBytes
        = memory - limits.links.memoryBytes - limits.unsentLinkBytes - ReadinessMemoryBytes - MetricsMemoryBytes;
    limits.calls.connections
        = std::min(sockets - limits.links.connections - 2 * OperatorConnections - OutgoingConnections,
                   percentOf(limits.calls.memoryBytes, ConnectionMemoryPercent) / CallConnectionBytes);
    return limits;
}

size_t systemDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return MaxDefaultDescriptors;
    }
    return std::clamp<size_t>(limit.rlim_cur, MinDescriptors, MaxDefaultDescriptors);
}

} // namespace marjoramferry
