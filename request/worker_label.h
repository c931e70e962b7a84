#pragma once

#include <messages_types.h>

#include <algorithm>
#include <string>

namespace marjoramferry {

/** Whether the worker has the label; every worker has an empty one. */
inline bool hasLabel(const wire::WorkerState &worker, const std::string &label)
{
    return label.empty() || std::ranges::find(worker.labels, label) != worker.labels.end();
}

} // namespace marjoramferry
