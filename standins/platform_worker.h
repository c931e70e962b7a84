#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "standins/timer_queue.h"
#include "standins/worker_model.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <string>

namespace marjoramferry {

struct PlatformWorkerOptions
{
    std::string name;
    std::string service;
    std::string domain;
    std::string listenAddress;
    std::string announcedAddress; ///< host:port at which the agent calls the worker; empty for listenAddress.
    std::string agentAddress; ///< host:port of the agent that receives the announcements.
    std::string runLog; ///< File that gets a JSON line at each start and end of a run; empty for none.
    int cpuMillis = 32'000; ///< Capacity, in thousandths of a core.
    int lateEvery = 0; ///< One in so many starts stays unanswered and is executed late; 0 for none.
    Milliseconds lateStartDelay{2500}; ///< Delay of such a start.
    bool dropsLateStartsOnRestart = false; ///< Whether such a start ends with the process that has received it.
};

/** Simulates, over HTTP, a worker of the platform that runs many tasks at once. A spec is "RUN_MS/CPU_MILLIS". */
class PlatformWorkerStandin
{
public:
    explicit PlatformWorkerStandin(PlatformWorkerOptions options);

    /** Sends announcements at a fixed interval until @p isStopping returns true. Calls are served meanwhile. */
    template<typename IsStopping>
    void run(const IsStopping &isStopping)
    {
        while (!isStopping()) {
            announce();
            waitForNextAnnouncement();
        }
    }

private:
    bool onRequest(const HttpRequest &request);
    /** Whether the next start stays unanswered and is executed late. */
    bool isNextStartLate() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /** Executes a start that the process with the given start time has received. */
    void executeLateStart(const StartRun &call, int64_t receiverStartTimeMs) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void setFaults(const HttpRequest &request);
    bool failCall(const HttpRequest &request);
    /** Answers a poll once an unacknowledged end exists or at @p deadline; checks again later otherwise. */
    void answerPoll(uint64_t token, const PollRuns &poll, MonotonicTime deadline);
    void sendReply(uint64_t token, const WorkerReply &reply);
    WorkerCall parseCall(const HttpRequest &request) const;
    void crashIfDue();
    void restart();
    std::unique_ptr<WorkerModel> makeModel() const;
    void announce();
    static void waitForNextAnnouncement();
    void writeRunLog() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const PlatformWorkerOptions options_;
    absl::Mutex mutex_;
    std::unique_ptr<WorkerModel> model_ ABSL_GUARDED_BY(mutex_);
    /** What the platform's calls get in place of an answer: a status, "odd" or "none"; empty for an answer. */
    std::string callFault_ ABSL_GUARDED_BY(mutex_);
    double lateShare_ ABSL_GUARDED_BY(mutex_) = 0; ///< Share of starts that stay unanswered and are executed late.
    MonotonicTime absentUntil_ ABSL_GUARDED_BY(mutex_); ///< The process sends no announcement before.
    int64_t announcementSequence_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<bool> isEndLogged_ ABSL_GUARDED_BY(mutex_); ///< By index in the history of the model.
    int startCount_ ABSL_GUARDED_BY(mutex_) = 0;
    std::ofstream runLog_ ABSL_GUARDED_BY(mutex_);
    HttpClient client_;
    TimerQueue timers_;
    HttpServer http_;
};

} // namespace marjoramferry
