#include "owner/fair_queue.h"

#include <algorithm>
#include <numeric>

namespace marjoramferry {

void FairQueue::TenantQueue::dropStaleTasks()
{
    while (!tasks.empty() && !tasks.front().isPending()) {
        tasks.pop_front();
    }
}

FairQueue::TenantQueue &FairQueue::tenantQueueOf(const std::string &tenant)
{
    const auto found = tenantQueues_.find(tenant);
    if (found != tenantQueues_.end()) {
        return found->second;
    }
    // Starting at the current virtual time keeps a tenant from accumulating credit while it was idle.
    TenantQueue queue;
    queue.virtualTime = virtualNow_;
    return tenantQueues_.emplace(tenant, std::move(queue)).first->second;
}

void FairQueue::add(const JobRunPtr &run)
{
    std::vector<int> order(run->tasks.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, std::ranges::greater{}, [&](int index) {
        return run->job.tasks[static_cast<size_t>(index)].expectedMs;
    });
    TenantQueue &queue = tenantQueueOf(run->job.tenant);
    for (const int index : order) {
        if (run->tasks[static_cast<size_t>(index)].phase == TaskPhase::Waiting) {
            queue.tasks.push_back(QueuedTask{run, index});
        }
    }
}

void FairQueue::pushFront(QueuedTask task)
{
    tenantQueueOf(task.run->job.tenant).tasks.push_front(std::move(task));
}

QueuedTask FairQueue::popFrom(const std::string &tenant, const Catalog &catalog)
{
    TenantQueue &queue = tenantQueues_.at(tenant);
    QueuedTask task = std::move(queue.tasks.front());
    queue.tasks.pop_front();
    virtualNow_ = std::max(virtualNow_, queue.virtualTime);
    const auto limits = catalog.tenants.find(tenant);
    const int weight = limits == catalog.tenants.end() ? 1 : limits->second.weight;
    queue.virtualTime += 1.0 / std::max(1, weight);
    return task;
}

void FairQueue::dropEmptyQueues()
{
    std::erase_if(tenantQueues_, [](const auto &entry) { return entry.second.tasks.empty(); });
}

} // namespace marjoramferry
