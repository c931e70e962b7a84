#pragma once

#include "connection/http_client.h"
#include "owner/agent_core.h"

#include <functional>

namespace marjoramferry {

/** Runs tasks on the agent's endpoint over HTTP with JSON bodies. */
class EndpointClient
{
public:
    using Callback = std::function<void(EndpointResult)>;

    explicit EndpointClient(HttpClient &http);

    /** @p callback is called on the HTTP client's thread. */
    void call(const CallEndpoint &command, Callback callback);

private:
    HttpClient &http_;
};

} // namespace marjoramferry
