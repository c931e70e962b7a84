#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "connection/table_client.h"
#include "core/bounded_queue.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "request/entry_core.h"

#include <memory>

namespace marjoramferry {

/** An entry: the I/O threads around its decisions, which run on the thread that calls run(). */
class EntryProcess
{
public:
    /** Throws Unavailable if an address can't be bound. */
    explicit EntryProcess(const EntrySettings &settings);

    /** Runs until the decisions say stop. */
    void run();

    /** Begins a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(EntryCommand &command);
    std::optional<HttpResponse> answerDirectly(const HttpRequest &request) const;

    BoundedQueue<EntryEvent> events_;
    Metrics metrics_;
    EntryCore core_;
    HttpClient tableHttp_;
    TableClient table_;
    LinkLoop links_;
    HttpServer http_;
    bool stopped_ = false;
};

} // namespace marjoramferry
