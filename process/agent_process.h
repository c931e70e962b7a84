#pragma once

#include "connection/endpoint_client.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/link_loop.h"
#include "core/bounded_queue.h"
#include "owner/agent_core.h"
#include "process/metrics.h"
#include "process/settings.h"

#include <optional>

namespace marjoramferry {

/**
 * An agent process with the "agent" role.
 *
 * Connects an AgentCore, which runs on the thread that calls run(), to the network through I/O threads.
 */
class AgentProcess
{
public:
    /** Throws Settings if an address can't be parsed and Unavailable if it can't be bound. */
    explicit AgentProcess(const AgentSettings &settings);
    ~AgentProcess();

    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /** Runs until the core requests a stop. */
    void run();

    /** Starts a graceful shutdown. May be called from any thread. */
    void drain();

private:
    void execute(AgentCommand &command);
    std::optional<HttpResponse> handleRequest(const HttpRequest &request);

    BoundedQueue<AgentEvent> events_;
    Metrics metrics_;
    AgentCore core_;
    HttpClient endpointHttpClient_;
    EndpointClient endpointClient_;
    LinkLoop links_;
    HttpServer httpServer_;
    bool isStopRequested_ = false;
};

/** Parses the body of POST /v1/announce. Throws Malformed with the name of the invalid field. */
EndpointAnnouncement parseAnnouncement(const std::string &body);

} // namespace marjoramferry
