#include "request/fair_queue.h"

#include <algorithm>
#include <numeric>

namespace marjoramferry {

void FairQueue::Lane::dropDead()
{
    while (!tasks.empty() && !tasks.front().isLive()) {
        tasks.pop_front();
    }
}

FairQueue::Lane &FairQueue::laneOf(const std::string &tenant)
{
    const auto found = lanes_.find(tenant);
    if (found != lanes_.end()) {
        return found->second;
    }
    // A tenant that comes back after idling starts level with the others, not with a credit.
    Lane lane;
    lane.virtualTime = now_;
    return lanes_.emplace(tenant, std::move(lane)).first->second;
}

void FairQueue::add(const JobRunPtr &run)
{
    std::vector<int> order(run->tasks.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, std::ranges::greater{}, [&](int index) {
        return run->job.tasks[static_cast<size_t>(index)].expectedMs;
    });
    Lane &lane = laneOf(run->job.tenant);
    for (const int index : order) {
        if (run->tasks[static_cast<size_t>(index)].phase == TaskPhase::Waiting) {
            lane.tasks.push_back(QueuedTask{run, index});
        }
    }
}

void FairQueue::putBack(QueuedTask task)
{
    laneOf(task.run->job.tenant).tasks.push_front(std::move(task));
}

QueuedTask FairQueue::takeFrom(const std::string &tenant, const Catalog &catalog)
{
    Lane &lane = lanes_.at(tenant);
    QueuedTask task = std::move(lane.tasks.front());
    lane.tasks.pop_front();
    now_ = std::max(now_, lane.virtualTime);
    const auto limits = catalog.tenants.find(tenant);
    const int weight = limits == catalog.tenants.end() ? 1 : limits->second.weight;
    lane.virtualTime += 1.0 / std::max(1, weight);
    return task;
}

void FairQueue::dropEmptyLanes()
{
    std::erase_if(lanes_, [](const auto &entry) { return entry.second.tasks.empty(); });
}

} // namespace marjoramferry
