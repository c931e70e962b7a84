#pragma once

#include "request/work_scheduler.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marjoramferry::testing {

inline const MonotonicTime Start{std::chrono::hours(1)};

inline wire::Route route(const std::string &name, int priority)
{
    wire::Route result;
    result.name = name;
    result.serviceName = "orders";
    result.priority = priority;
    result.maxAttempts = 2;
    result.stretch = 1.6;
    result.targetLatencyMs = 60;
    return result;
}

inline wire::AgentBatch agentBatch(const std::string &agent, const std::string &domain, int freeMillis)
{
    wire::AgentBatch batch;
    batch.agent = agent;
    batch.incarnation = agent + "-1";
    batch.entryIncarnation = "entry-1";
    batch.sentAtUs = 1;
    batch.cleared = true;
    wire::WorkerState worker;
    worker.worker = "w-" + agent;
    worker.serviceName = "orders";
    worker.domain = domain;
    worker.capacity.cpuMillis = 16'000;
    worker.capacity.memoryMb = 100'000;
    batch.__set_worker(worker);
    batch.room.unclaimed.cpuMillis = freeMillis;
    batch.room.unclaimed.memoryMb = 100'000;
    batch.room.takesRuns = true;
    return batch;
}

/** A scheduler whose agents report what the test specifies. */
struct SchedulerFixture
{
    WorkerDirectory directory{"entry", "entry-1", WorkerDirectoryOptions{}};
    WorkScheduler scheduler{WorkSchedulerOptions{}, directory};
    OperatorStateCache operatorState;
    std::map<std::string, int64_t> sessions;
    LinkId lastLink = 0;
    uint64_t lastToken = 0;

    void connectAgent(const std::string &agent, const std::string &domain, int freeMillis, MonotonicTime now = Start)
    {
        directory.handleBatch(++lastLink, agentBatch(agent, domain, freeMillis), now);
        directory.updateActivity(operatorState, now);
        sessions[agent] = directory.views().at(agent).session;
    }

    /** The agent acknowledges everything sent so far and reports its free capacity. */
    void reportCapacity(const std::string &agent, int freeMillis, MonotonicTime now)
    {
        const WorkerView &view = directory.views().at(agent);
        wire::AgentBatch batch = agentBatch(agent, view.state.domain, freeMillis);
        batch.sentAtUs = view.lastAgentTimeUs + 1;
        batch.session = view.session;
        batch.acknowledged = view.instructions.newestSequenceNumber();
        directory.handleBatch(view.link, batch, now);
    }

    uint64_t submit(const std::string &job,
                    const wire::Route &queue,
                    int tasks,
                    int runMs,
                    MonotonicTime now = Start,
                    int cpuMillis = 8000)
    {
        SubmitWork call;
        call.address.token = ++lastToken;
        call.timeout = Milliseconds(2500);
        WorkStep step;
        step.count = tasks;
        step.demand = {cpuMillis, 64, 0};
        step.estimate = Milliseconds(runMs);
        call.job.steps = {step};
        scheduler.submit(call, queue, job, now);
        return lastToken;
    }

    /** Schedules, and returns the run orders sent since the last call, each with its agent. */
    std::vector<std::pair<std::string, wire::RunOrder>> takeOrders(MonotonicTime now)
    {
        scheduler.schedule(operatorState, now);
        std::vector<std::pair<std::string, wire::RunOrder>> sent;
        for (WorkerView *view : directory.activeViews()) {
            for (const wire::RunInstruction &each : view->instructions.takeUnsent()) {
                if (each.__isset.order) {
                    sent.emplace_back(view->agent, each.order);
                }
            }
        }
        std::ranges::stable_sort(sent, {}, &std::pair<std::string, wire::RunOrder>::first);
        return sent;
    }

    /** Whether an overdue run was logged since the last call. */
    bool hasLoggedOverdueRun()
    {
        return std::ranges::any_of(scheduler.takeCommands(), [](const WorkCommand &each) {
            const auto *logEvent = std::get_if<LogEvent>(&each);
            return logEvent != nullptr && logEvent->event == "run_overdue";
        });
    }

    void
    endRun(const std::string &agent, int64_t run, wire::RunOutcome::type outcome, MonotonicTime now, int ranMs = 60)
    {
        wire::RunEnd end;
        end.runNumber = run;
        end.outcome = outcome;
        end.ranMs = ranMs;
        scheduler.handleRunEnd(agent, end, now);
    }
};

} // namespace marjoramferry::testing
