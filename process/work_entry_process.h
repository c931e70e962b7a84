#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "core/bounded_queue.h"
#include "platform/entry_registry.h"
#include "platform/operator_feed.h"
#include "platform/store_client.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "request/work_entry.h"

#include <atomic>

namespace marjoramferry {

/** An entry on the platform: the I/O threads around its decisions, which run on the thread that calls run(). */
class WorkEntryProcess
{
public:
    /** Throws Unavailable if an address can't be bound. */
    explicit WorkEntryProcess(const WorkEntrySettings &settings);

    /** Runs until the decisions say stop. */
    void run();

    /** Begins a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(WorkEntryCommand &command);
    void rejectLeft();
    void reject(uint64_t token);
    bool takeCall(const HttpRequest &request);
    HttpResponse answerReadiness(const HttpRequest &request) const;

    BoundedQueue<WorkEntryEvent> events_;
    Metrics metrics_;
    WorkEntry core_;
    std::atomic<bool> isReady_{false};
    std::atomic<bool> isOver_{false}; ///< The decisions have ended; what still comes in is rejected on the spot.
    LinkLoop links_;
    HttpClient storeHttp_;
    platform::StoreClient store_;
    platform::OperatorFeed feed_;
    platform::EntryRegistry registry_;
    HttpServer callers_;
    HttpServer readiness_;
    HttpServer metricsFace_;
    bool stopped_ = false;
};

} // namespace marjoramferry
