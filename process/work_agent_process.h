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

/** An agent on the platform: the I/O threads around its decisions, which run on the thread that calls run(). */
class WorkAgentProcess
{
public:
    /** Throws Unavailable if an address can't be bound. */
    explicit WorkAgentProcess(const WorkAgentSettings &settings);

    /** Runs until the decisions say stop. */
    void run();

    /** Begins a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(WorkAgentCommand &command);
    HttpResponse takeWord(const HttpRequest &request);

    BoundedQueue<WorkAgentEvent> events_;
    Metrics metrics_;
    WorkAgent core_;
    LinkLoop links_;
    HttpClient workerHttp_;
    platform::WorkerClient worker_;
    platform::StoreClient store_;
    platform::OperatorFeed feed_;
    platform::EntryRegistry registry_;
    HttpServer workerFace_;
    HttpServer metricsFace_;
    bool stopped_ = false;
};

} // namespace marjoramferry
