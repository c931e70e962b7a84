#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "core/bounded_queue.h"
#include "platform/entry_registry.h"
#include "platform/operator_feed.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "request/work_agent.h"

namespace marjoramferry {

/**
 * An agent process with the "work-agent" role.
 *
 * Connects a WorkAgent, which runs on the thread that calls run(), to the platform and the network through
 * I/O threads.
 */
class WorkAgentProcess
{
public:
    /** Throws Settings if an address can't be parsed and Unavailable if it can't be bound. */
    explicit WorkAgentProcess(const WorkAgentSettings &settings);
    ~WorkAgentProcess();

    WorkAgentProcess(const WorkAgentProcess &) = delete;
    WorkAgentProcess &operator=(const WorkAgentProcess &) = delete;

    /** Runs until the core requests a stop. */
    void run();

    /** Starts a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(WorkAgentCommand &command);
    HttpResponse handleWorkerRequest(const HttpRequest &request);

    BoundedQueue<WorkAgentEvent> events_;
    Metrics metrics_;
    WorkAgent core_;
    LinkLoop links_;
    HttpClient httpClient_;
    platform::WorkerClient workerClient_;
    platform::StoreClient storeClient_;
    platform::OperatorFeed operatorFeed_;
    platform::EntryRegistry entryRegistry_;
    HttpServer workerServer_;
    HttpServer metricsServer_;
    bool isStopRequested_ = false;
};

} // namespace marjoramferry
