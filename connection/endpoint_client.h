#pragma once

#include "connection/http_client.h"
#include "request/agent_core.h"

#include <functional>

namespace marjoramferry {

/** Hands tasks to the endpoint beside the agent, over HTTP and JSON. */
class EndpointClient
{
public:
    using Done = std::function<void(EndpointResult)>;

    explicit EndpointClient(HttpClient &http);

    /** @p done is called on the HTTP client's thread. */
    void call(const CallEndpoint &command, Done done);

private:
    HttpClient &http_;
};

} // namespace marjoramferry
