#include "request/worker_protocol.h"

#include <absl/strings/str_cat.h>

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

std::string describe(const RunKey &key)
{
    return absl::StrCat(key.jobId, "/", key.step, "/", key.task, "/", key.attempt);
}

} // namespace marjoramferry
