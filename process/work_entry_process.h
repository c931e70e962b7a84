#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "core/bounded_queue.h"
#include "core/suspension_meter.h"
#include "platform/entry_registry.h"
#include "platform/operator_feed.h"
#include "platform/store_client.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "request/work_entry.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace marjoramferry {

/**
 * An entry process with the "work-entry" role.
 *
 * Connects a WorkEntry, which runs on the thread that calls run(), to the platform and the network through
 * I/O threads.
 */
class WorkEntryProcess
{
public:
    /** Throws Settings if an address can't be parsed and Unavailable if it can't be bound. */
    explicit WorkEntryProcess(const WorkEntrySettings &settings);
    ~WorkEntryProcess();

    WorkEntryProcess(const WorkEntryProcess &) = delete;
    WorkEntryProcess &operator=(const WorkEntryProcess &) = delete;

    /** Runs until the core requests a stop. */
    void run();

    /** Starts a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void handlePass(const std::vector<WorkEntryEvent> &events);
    Milliseconds measureSuspension();
    void endCall(uint64_t token);
    void execute(WorkEntryCommand &command);
    void rejectRemaining();
    void rejectCall(uint64_t token);
    bool handleJobRequest(const HttpRequest &request);
    bool handleExplainRequest(const HttpRequest &request);
    HttpResponse handleReadinessRequest(const HttpRequest &request) const;
    std::vector<ListenerReport> reportListeners() const;

    BoundedQueue<WorkEntryEvent> events_;
    Metrics metrics_;
    WorkEntry core_;
    SuspensionMeter suspensions_;
    std::atomic<bool> isReady_{false};
    std::atomic<bool> isFinished_{false}; ///< run() has stopped handling events; further calls are rejected at once.
    LinkLoop links_;
    HttpClient storeHttpClient_;
    platform::StoreClient storeClient_;
    platform::OperatorFeed operatorFeed_;
    platform::EntryRegistry entryRegistry_;
    HttpServer jobServer_;
    HttpServer readinessServer_;
    HttpServer metricsServer_;
    bool isStopRequested_ = false;
};

} // namespace marjoramferry
