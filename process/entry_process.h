#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "connection/table_client.h"
#include "core/bounded_queue.h"
#include "owner/entry_core.h"
#include "process/metrics.h"
#include "process/settings.h"

#include <memory>

namespace marjoramferry {

/**
 * An entry process with the "entry" role.
 *
 * Connects an EntryCore, which runs on the thread that calls run(), to the network through I/O threads.
 */
class EntryProcess
{
public:
    /** Throws Settings if an address can't be parsed and Unavailable if it can't be bound. */
    explicit EntryProcess(const EntrySettings &settings);
    ~EntryProcess();

    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /** Runs until the core requests a stop. */
    void run();

    /** Starts a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(EntryCommand &command);
    bool handleRequest(HttpRequest request);
    std::optional<HttpResponse> handleMetricsRequest(const HttpRequest &request) const;

    BoundedQueue<EntryEvent> events_;
    Metrics metrics_;
    EntryCore core_;
    HttpClient tableHttpClient_;
    TableClient tableClient_;
    LinkLoop links_;
    HttpServer httpServer_;
    bool isStopRequested_ = false;
};

} // namespace marjoramferry
