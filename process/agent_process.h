#pragma once

#include "connection/endpoint_client.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "core/bounded_queue.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "request/agent_core.h"

#include <optional>

namespace marjoramferry {

/** An agent: the I/O threads around its decisions, which run on the thread that calls run(). */
class AgentProcess
{
public:
    /** Throws Unavailable if an address can't be bound. */
    explicit AgentProcess(const AgentSettings &settings);

    /** Runs until the decisions say stop. */
    void run();

    /** Begins a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(AgentCommand &command);
    std::optional<HttpResponse> answer(const HttpRequest &request);

    BoundedQueue<AgentEvent> events_;
    Metrics metrics_;
    AgentCore core_;
    HttpClient endpointHttp_;
    EndpointClient endpoint_;
    LinkLoop links_;
    HttpServer http_;
    bool stopped_ = false;
};

/** Parses the body of an endpoint's POST /v1/announce. Throws Malformed naming the field. */
EndpointAnnouncement parseAnnouncement(const std::string &body);

} // namespace marjoramferry
