#include "request/work_types.h"

namespace marjoramferry {

const char *responseStatusName(WorkAnswer status)
{
    switch (status) {
    case WorkAnswer::Complete:
        return "complete";
    case WorkAnswer::Failed:
        return "failed";
    case WorkAnswer::Active:
        return "active";
    case WorkAnswer::Cancelled:
        return "cancelled";
    case WorkAnswer::Pending:
        return "pending";
    case WorkAnswer::Rejected:
        return "rejected";
    case WorkAnswer::NotReady:
        return "not_ready";
    case WorkAnswer::Unsupported:
        return "unsupported";
    case WorkAnswer::UnknownQueue:
        return "unknown_queue";
    case WorkAnswer::UnknownJob:
        return "unknown_job";
    case WorkAnswer::Malformed:
        return "malformed";
    case WorkAnswer::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

} // namespace marjoramferry
