#include "request/worker_protocol.h"

namespace marjoramferry {

const char *rejectionName(Rejection rejection)
{
    switch (rejection) {
    case Rejection::None:
        return "none";
    case Rejection::StaleFence:
        return "stale_fence";
    case Rejection::OldAttempt:
        return "old_attempt";
    case Rejection::LeaseExpired:
        return "lease_over";
    case Rejection::InsufficientCapacity:
        return "no_room";
    case Rejection::OtherIncarnation:
        return "other_incarnation";
    case Rejection::Unhealthy:
        return "unhealthy";
    case Rejection::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace marjoramferry
