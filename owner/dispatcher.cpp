#include "owner/dispatcher.h"

#include "owner/evidence.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

namespace {

/** A dispatch round of a service ends after this many tasks that fit no free slot. */
constexpr size_t MaxUnplacedTasks = 16;

} // namespace

Dispatcher::Dispatcher(const ClusterStateTracker &clusterState,
                       AgentDirectory &directory,
                       PlacementPolicy placement,
                       const QuotaSource &quotas)
    : clusterState_(clusterState)
    , directory_(directory)
    , placement_(placement)
    , quotas_(quotas)
{
}

void Dispatcher::enqueue(const JobRunPtr &run)
{
    queues_[run->job.serviceName].add(run);
    count(run->job, {run->waiting, 0});
}

void Dispatcher::withdraw(const JobRun &run)
{
    count(run.job, {-run.waiting, 0});
}

void Dispatcher::requeue(const JobRunPtr &run, int index)
{
    queues_[run->job.serviceName].pushFront(QueuedTask{run, index});
    count(run->job, {1, 0});
}

void Dispatcher::countAdopted(const JobRun &run)
{
    count(run.job, {0, 1});
}

void Dispatcher::countFinished(const JobRun &run)
{
    count(run.job, {0, -1});
}

void Dispatcher::count(const wire::Job &job, const TaskCounts &change)
{
    tenantCounts_.add(job.tenant, change);
    serviceCounts_.add(job.serviceName, change);
}

void Dispatcher::dispatch(MonotonicTime now, EntryOutbox &out)
{
    Batches batches;
    for (auto &[service, queue] : queues_) {
        if (!queue.empty()) {
            dispatchService(service, queue, now, batches);
        }
    }
    for (Batch &batch : batches | std::views::values) {
        batch.message.sequence = sequence_;
        out.add(SendToLink{batch.link, std::move(batch.message)});
    }
}

void Dispatcher::dispatchService(const std::string &service, FairQueue &queue, MonotonicTime now, Batches &batches)
{
    const Catalog &catalog = clusterState_.catalog();
    const auto canRun
        = [&](const std::string &tenant) { return tenantCounts_.of(tenant).running < quotas_.runningLimit(tenant); };
    const std::vector<const AgentView *> agents = directory_.availableAgents(service, catalog, now);
    std::vector<QueuedTask> unplaced;
    while (!agents.empty() && unplaced.size() < MaxUnplacedTasks) {
        auto task = queue.pop(catalog, canRun);
        if (!task) {
            break;
        }
        const wire::Needs &needs = task->run->job.tasks[static_cast<size_t>(task->index)].needs;
        const AgentView *agent = selectAgent(placement_, agents, needs);
        if (agent == nullptr) {
            unplaced.push_back(std::move(*task));
            const bool hasFreeSlot
                = std::ranges::any_of(agents, [](const AgentView *each) { return each->freeSlots() > 0; });
            if (!hasFreeSlot) {
                break;
            }
            continue;
        }
        assign(*task, *agent, now, batches);
    }
    for (QueuedTask &task : unplaced | std::views::reverse) {
        queue.pushFront(std::move(task));
    }
}

void Dispatcher::assign(const QueuedTask &task, const AgentView &agent, MonotonicTime now, Batches &batches)
{
    JobRun &run = *task.run;
    const auto [entry, isNew] = batches.try_emplace(BatchKey{agent.name, run.job.jobId});
    Batch &batch = entry->second;
    if (isNew) {
        batch.link = agent.link;
        batch.message.jobId = run.job.jobId;
        batch.message.tenant = run.job.tenant;
        batch.message.serviceName = run.job.serviceName;
        batch.message.shard = run.shard;
        batch.message.epoch = run.epoch;
        batch.message.remainingMs = millisecondsBetween(now, run.deadline);
        batch.message.incarnation = agent.incarnation;
        if (const auto evidence = makeEvidence(agent, clusterState_, now)) {
            batch.message.__set_evidence(*evidence);
        }
        ++sequence_;
    }
    const auto index = static_cast<size_t>(task.index);
    batch.message.tasks.push_back(run.job.tasks[index]);
    TaskRun &state = run.tasks[index];
    state.phase = TaskPhase::Sent;
    state.agent = agent.name;
    state.incarnation = agent.incarnation;
    state.sequence = sequence_;
    state.sentAt = now;
    --run.waiting;
    count(run.job, {-1, 1});
    directory_.recordStartsSent(agent.name, 1);
}

} // namespace marjoramferry
