#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "standins/timer_queue.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace marjoramferry {

struct EndpointOptions
{
    std::string name;
    std::string service;
    std::string listenAddress;
    std::string agentAddress; ///< host:port of the HTTP interface of the local agent.
    std::string startLog; ///< File that gets a JSON line for each start; empty for none.
    int slots = 8; ///< Limit of concurrent tasks.
    int cpus = 64;
    int memoryMb = 131'072;
    int accelerators = 0;
};

/** Faults injected by POST /faults. */
struct EndpointFaults
{
    bool failAll = false; ///< Answers every task with status 500.
    Milliseconds extraRunTime{0}; ///< Added to the run time of every task.
};

/**
 * Simulates an endpoint over HTTP. A task takes payload.sleep_ms and returns payload.echo as its output.
 *
 * The endpoint announces itself to its agent at a fixed interval and logs each start.
 */
class EndpointStandin
{
public:
    explicit EndpointStandin(EndpointOptions options);

    /** Sends announcements until @p isStopping returns true, then one with "leaving" set, and waits for all tasks. */
    template<typename IsStopping>
    void run(const IsStopping &isStopping)
    {
        while (!isStopping()) {
            announce(false);
            waitForNextAnnouncement();
        }
        announce(true);
        while (runningTaskCount() > 0) {
            waitForNextAnnouncement();
        }
    }

private:
    bool onRequest(const HttpRequest &request);
    void startTask(uint64_t token, const nlohmann::json &body);
    void finishTask(uint64_t token, const nlohmann::json &payload, bool isFailed);
    void announce(bool isLeaving);
    static void waitForNextAnnouncement();
    int runningTaskCount();

    const EndpointOptions options_;
    absl::Mutex mutex_;
    EndpointFaults faults_;
    int runningTaskCount_ = 0;
    std::vector<nlohmann::json> starts_;
    std::ofstream startLog_;
    HttpClient client_;
    TimerQueue timers_;
    HttpServer http_;
};

} // namespace marjoramferry
