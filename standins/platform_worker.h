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
    std::string agentAddress; ///< Where it announces itself.
    std::string runLog; ///< File that gets a line when a run starts and one when it ends.
    int cpuMillis = 32'000;
};

/** A worker of the platform that runs many tasks at once, over HTTP. A spec is "RUN_MS/CPU_MILLIS". */
class PlatformWorkerStandin
{
public:
    explicit PlatformWorkerStandin(PlatformWorkerOptions options);

    /** Announces itself until @p isStopping is true, and runs what it is told. */
    template<typename IsStopping>
    void run(const IsStopping &isStopping)
    {
        while (!isStopping()) {
            announce();
            pause();
        }
    }

private:
    bool onRequest(const HttpRequest &request);
    void onControl(const HttpRequest &request);
    void hold(uint64_t token, const PollRuns &call, MonotonicTime until);
    void respond(uint64_t token, const WorkerReply &reply);
    WorkerCall readCall(const HttpRequest &request) const;
    void restart();
    void announce();
    static void pause();
    void writeRunLog() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const PlatformWorkerOptions options_;
    absl::Mutex mutex_;
    std::unique_ptr<WorkerModel> model_ ABSL_GUARDED_BY(mutex_);
    double lateShare_ ABSL_GUARDED_BY(mutex_) = 0; ///< Of the starts: no answer, carried out seconds later.
    int64_t sequence_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<bool> loggedEnds_ ABSL_GUARDED_BY(mutex_); ///< By place in the model's history.
    int starts_ ABSL_GUARDED_BY(mutex_) = 0;
    std::ofstream log_ ABSL_GUARDED_BY(mutex_);
    HttpClient client_;
    TimerQueue delayed_;
    HttpServer http_;
};

} // namespace marjoramferry
