#pragma once

#include "request/worker_directory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace marjoramferry::testing {

inline const MonotonicTime Start{std::chrono::hours(1)};

inline wire::AgentBatch batchFrom(const std::string &incarnation, int64_t sentAtUs)
{
    wire::AgentBatch batch;
    batch.agent = "agent";
    batch.incarnation = incarnation;
    batch.sentAtUs = sentAtUs;
    batch.cleared = true;
    wire::WorkerState worker;
    worker.worker = "worker";
    batch.__set_worker(worker);
    batch.room.takesRuns = true;
    return batch;
}

/** A directory whose subset has one worker, and two agents. */
struct TwoAgents
{
    WorkerDirectory directory{"entry", "entry-1", options()};
    std::string member; ///< The agent of the subset.
    std::string other;

    TwoAgents()
    {
        for (const char *name : {"a", "b"}) {
            directory.handleBatch(name[0], batchOf(name, 1), Start);
        }
        directory.updateActivity(OperatorStateCache(), Start);
        REQUIRE(directory.activeViews().size() == 1);
        member = directory.activeViews().front()->agent;
        other = member == "a" ? "b" : "a";
    }

    static WorkerDirectoryOptions options()
    {
        WorkerDirectoryOptions options;
        options.subset = {1, 0};
        return options;
    }

    wire::AgentBatch batchOf(const std::string &agent, int64_t sentAtUs) const
    {
        wire::AgentBatch batch = batchFrom(agent + "-1", sentAtUs);
        batch.agent = agent;
        batch.worker.worker = "w-" + agent;
        batch.entryIncarnation = "entry-1";
        const auto view = directory.views().find(agent);
        batch.session = view == directory.views().end() ? 0 : view->second.session;
        return batch;
    }

    /** The first message of the agent's next incarnation. */
    wire::AgentBatch restartedBatchOf(const std::string &agent) const
    {
        wire::AgentBatch batch = batchOf(agent, 1);
        batch.incarnation = agent + "-2";
        batch.session = 0;
        return batch;
    }

    /** The messages sent now, by agent. */
    std::map<std::string, wire::EntryBatch> sendBatches(MonotonicTime now)
    {
        directory.updateActivity(OperatorStateCache(), now);
        directory.sendBatches(OperatorStateCache(), false, false, now);
        std::map<std::string, wire::EntryBatch> sent;
        for (WorkCommand &command : directory.takeCommands()) {
            if (const auto *message = std::get_if<SendToLink>(&command)) {
                sent[std::string(1, static_cast<char>(message->link))] = std::get<wire::EntryBatch>(message->message);
            }
        }
        return sent;
    }

    void activateOther(MonotonicTime now)
    {
        directory.activateStandby([](const WorkerView &) { return true; }, now);
    }

    /** Activates the other worker, receives its report and orders a run on it. */
    WorkerView &orderRunOnOther(MonotonicTime now)
    {
        activateOther(now);
        directory.handleBatch(other[0], batchOf(other, 2), now);
        WorkerView &view = viewOf(other);
        directory.orderRun(view, wire::RunOrder(), now);
        return view;
    }

    WorkerView &viewOf(const std::string &agent)
    {
        return **std::ranges::find(directory.activeViews(), agent, &WorkerView::agent);
    }
};

} // namespace marjoramferry::testing
