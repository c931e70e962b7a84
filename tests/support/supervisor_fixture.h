#pragma once

#include "request/worker_supervisor.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marjoramferry::testing {

inline constexpr int64_t FirstFence = 1000;
inline const MonotonicTime Start{std::chrono::hours(1)};

inline WorkerAnnouncement announcement(int64_t sequence, int64_t startTimeMs = 7)
{
    WorkerAnnouncement result;
    result.identity = {"worker-1", startTimeMs};
    result.service = "orders";
    result.address = "10.0.0.1:80";
    result.domain = "north";
    result.capacity = {16'000, 1024, 0};
    result.clockMs = 100;
    result.sequence = sequence;
    return result;
}

inline RunRequest runRequest(const std::string &job, int64_t runNumber, int cpuMillis = 6000)
{
    RunRequest request;
    request.orderId = {"entry-1", 1, runNumber};
    request.key = {job, 0, 0, 1};
    request.demand = {cpuMillis, 64, 0};
    request.rank = runNumber;
    request.startDeadline = Start + Milliseconds(250);
    return request;
}

/** The output of a supervisor, split by kind. */
struct OutputByKind
{
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    std::vector<PollRuns> polls;
    std::vector<EndedRun> ends;

    explicit OutputByKind(WorkerSupervisor::Output output)
        : ends(std::move(output.ends))
    {
        for (const WorkerCall &call : output.calls) {
            if (const auto *start = std::get_if<StartRun>(&call)) {
                starts.push_back(*start);
            } else if (const auto *stop = std::get_if<StopRun>(&call)) {
                stops.push_back(*stop);
            } else if (const auto *poll = std::get_if<PollRuns>(&call)) {
                polls.push_back(*poll);
            }
        }
    }
};

inline WorkerReply accepted(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    reply.outcome = CallOutcome::Accepted;
    reply.clockMs = 200;
    return reply;
}

inline WorkerReply
listed(int64_t callId, std::vector<RunKey> running, std::vector<ListedEnd> ended = {}, int64_t startTimeMs = 7)
{
    WorkerReply reply = accepted(callId);
    reply.listing = RunListing{startTimeMs, std::move(running), std::move(ended)};
    return reply;
}

inline WorkerReply unanswered(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    return reply;
}

inline WorkerReply refused(int64_t callId)
{
    WorkerReply reply = unanswered(callId);
    reply.isRefused = true;
    return reply;
}

inline WorkerReply rejected(int64_t callId, Rejection reason)
{
    WorkerReply reply;
    reply.callId = callId;
    reply.outcome = CallOutcome::Rejected;
    reply.rejection = reason;
    return reply;
}

/** A supervisor whose worker has announced itself and accepted the first fence. */
struct ReconciledSupervisor
{
    EntryLiveness liveness{Milliseconds(700)};
    WorkerSupervisor supervisor{WorkerTiming{}, FirstFence, liveness};

    /** With the worker found at @p foundAt. For a second after that, earlier calls may extend its lease. */
    explicit ReconciledSupervisor(MonotonicTime foundAt = Start)
    {
        proveEntryAlive(Start);
        supervisor.handleAnnouncement(announcement(1), foundAt);
        const OutputByKind output(supervisor.takeOutput());
        supervisor.handleReply(listed(output.polls.at(0).callId, {}), foundAt);
        supervisor.takeOutput();
    }

    /** Records a proof that the entry of runRequest() is alive. */
    void proveEntryAlive(MonotonicTime at)
    {
        liveness.recordEcho("entry-1", 1, at);
    }

    /** Both copies of a start whose first one was unanswered. */
    struct RepeatedStart
    {
        OutputByKind first;
        OutputByKind second;
    };

    /** Starts a run at Start, and leaves the first copy of the start unanswered until @p timeoutAt. */
    RepeatedStart startTwice(const RunRequest &request, MonotonicTime timeoutAt)
    {
        OutputByKind first = start(request, Start);
        supervisor.handleReply(unanswered(first.starts[0].callId), timeoutAt);
        OutputByKind second(supervisor.takeOutput());
        REQUIRE(second.starts.size() == 1);
        CHECK(second.starts[0].key == first.starts[0].key);
        return {std::move(first), std::move(second)};
    }

    /**
     * Lets the worker accept all starts and answer no poll from @p from on. Returns when the run with this number has
     * ended, if that is before @p until. The entry is known to be alive.
     */
    std::optional<MonotonicTime> endWithoutAnswers(int64_t runNumber, MonotonicTime from, MonotonicTime until)
    {
        for (MonotonicTime now = from; now < until; now += Milliseconds(20)) {
            proveEntryAlive(now);
            supervisor.tick(now);
            const OutputByKind output(supervisor.takeOutput());
            for (const StartRun &each : output.starts) {
                supervisor.handleReply(accepted(each.callId), now);
            }
            for (const PollRuns &each : output.polls) {
                supervisor.handleReply(unanswered(each.callId), now);
            }
            if (std::ranges::any_of(output.ends,
                                    [&](const EndedRun &end) { return end.orderId.runNumber == runNumber; })) {
                return now;
            }
        }
        return std::nullopt;
    }

    /** Announces another process. Returns the poll that asks the known one whether it is still there. */
    PollRuns announce(const WorkerAnnouncement &process, MonotonicTime now)
    {
        supervisor.handleAnnouncement(process, now);
        const OutputByKind asked(supervisor.takeOutput());
        REQUIRE(asked.polls.size() == 1);
        return asked.polls[0];
    }

    /** Requests a run that is started at once. */
    OutputByKind start(const RunRequest &request, MonotonicTime now)
    {
        supervisor.requestRun(request, now);
        OutputByKind output(supervisor.takeOutput());
        REQUIRE(output.starts.size() == 1);
        return output;
    }

    /** Starts and confirms a run. Returns a poll that was sent after the confirmation. */
    PollRuns startAndConfirm(const RunRequest &request, MonotonicTime now)
    {
        const OutputByKind output = start(request, now);
        supervisor.handleReply(accepted(output.starts[0].callId), now);
        const OutputByKind confirmed(supervisor.takeOutput());
        const PollRuns first = output.polls.empty() ? confirmed.polls.at(0) : output.polls.at(0);
        supervisor.handleReply(listed(first.callId, {request.key}), now + Milliseconds(1));
        return OutputByKind(supervisor.takeOutput()).polls.at(0);
    }
};

} // namespace marjoramferry::testing
