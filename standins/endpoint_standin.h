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
    std::string agentAddress; ///< HTTP face of the agent beside it.
    std::string startLog; ///< File that gets a line for each start; empty for none.
    int slots = 8;
    int cpus = 64;
    int memoryMb = 131'072;
    int accelerators = 0;
};

/** Faults of the endpoint that POST /faults switches. */
struct EndpointFaults
{
    bool failAll = false;
    Milliseconds straggle{0}; ///< Added to every task.
};

/**
 * An endpoint that runs a task by sleeping for payload.sleep_ms, and echoes payload.echo.
 * It announces itself to its agent at a fixed pace and logs each start.
 */
class EndpointStandin
{
public:
    explicit EndpointStandin(EndpointOptions options);

    /** Announces itself until @p isStopping is true, then announces that it leaves and lets tasks end. */
    template<typename IsStopping>
    void run(const IsStopping &isStopping)
    {
        while (!isStopping()) {
            announce(false);
            pause();
        }
        announce(true);
        while (running() > 0) {
            pause();
        }
    }

private:
    bool onRequest(const HttpRequest &request);
    void startTask(uint64_t token, const nlohmann::json &body);
    void endTask(uint64_t token, const nlohmann::json &payload, bool fails);
    void announce(bool isLeaving);
    static void pause();
    int running();

    const EndpointOptions options_;
    absl::Mutex mutex_;
    EndpointFaults faults_;
    int running_ = 0;
    std::vector<nlohmann::json> starts_;
    std::ofstream startLog_;
    HttpClient client_;
    TimerQueue delayed_;
    HttpServer http_;
};

} // namespace marjoramferry
