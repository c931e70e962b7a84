#include "request/work_types.h"

namespace marjoramferry {

const char *responseStatusName(ResponseStatus status)
{
    switch (status) {
    case ResponseStatus::Complete:
        return "complete";
    case ResponseStatus::Failed:
        return "failed";
    case ResponseStatus::Active:
        return "active";
    case ResponseStatus::Cancelled:
        return "cancelled";
    case ResponseStatus::Pending:
        return "pending";
    case ResponseStatus::Rejected:
        return "rejected";
    case ResponseStatus::NotReady:
        return "not_ready";
    case ResponseStatus::Unsupported:
        return "unsupported";
    case ResponseStatus::UnknownQueue:
        return "unknown_queue";
    case ResponseStatus::UnknownJob:
        return "unknown_job";
    case ResponseStatus::Malformed:
        return "malformed";
    case ResponseStatus::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

} // namespace marjoramferry
