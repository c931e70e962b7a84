#include "request/dispatcher.h"

#include "request/evidence.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

namespace {

/** How many tasks that fit nowhere just now are set aside before a round ends. */
constexpr size_t MostSetAside = 16;

} // namespace

Dispatcher::Dispatcher(const ClusterStateTracker &keeper,
                       AgentDirectory &directory,
                       Placement placement,
                       const QuotaSource &quotas)
    : keeper_(keeper)
    , directory_(directory)
    , placement_(placement)
    , quotas_(quotas)
{
}

void Dispatcher::enqueue(const JobRunPtr &run)
{
    queues_[run->job.serviceName].add(run);
    tenants_[run->job.tenant].queued += run->waiting;
    services_[run->job.serviceName].queued += run->waiting;
}

void Dispatcher::withdraw(const JobRun &run)
{
    tenants_[run.job.tenant].queued -= run.waiting;
    services_[run.job.serviceName].queued -= run.waiting;
}

void Dispatcher::requeue(const JobRunPtr &run, int index)
{
    queues_[run->job.serviceName].putBack(QueuedTask{run, index});
    ++tenants_[run->job.tenant].queued;
    ++services_[run->job.serviceName].queued;
}

void Dispatcher::noteAdopted(const JobRun &run)
{
    ++tenants_[run.job.tenant].running;
    ++services_[run.job.serviceName].running;
}

void Dispatcher::noteFinished(const JobRun &run)
{
    --tenants_[run.job.tenant].running;
    --services_[run.job.serviceName].running;
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
    const Catalog &catalog = keeper_.catalog();
    const auto mayRun = [&](const std::string &tenant) { return tenants_[tenant].running < quotas_.mayRun(tenant); };
    const std::vector<const AgentView *> agents = directory_.availableAgents(service, catalog, now);
    std::vector<QueuedTask> setAside;
    while (!agents.empty() && setAside.size() < MostSetAside) {
        auto task = queue.pop(catalog, mayRun);
        if (!task) {
            break;
        }
        const wire::Needs &needs = task->run->job.tasks[static_cast<size_t>(task->index)].needs;
        const AgentView *agent = place(placement_, agents, needs);
        if (agent == nullptr) {
            setAside.push_back(std::move(*task));
            const bool anyFree
                = std::ranges::any_of(agents, [](const AgentView *each) { return each->freeSlots() > 0; });
            if (!anyFree) {
                break;
            }
            continue;
        }
        assign(*task, *agent, now, batches);
    }
    for (QueuedTask &task : setAside | std::views::reverse) {
        queue.putBack(std::move(task));
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
        if (const auto evidence = evidenceFor(agent, keeper_, now)) {
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
    --tenants_[run.job.tenant].queued;
    --services_[run.job.serviceName].queued;
    ++tenants_[run.job.tenant].running;
    ++services_[run.job.serviceName].running;
    directory_.recordStartsSent(agent.name, 1);
}

} // namespace marjoramferry
