#pragma once

#include "core/listener_budget.h"
#include "event/http_event.h"

/** The responses to requests that a server refuses for its limits. None of them has changed anything. */
namespace marjoramferry {

/** The response to a request that was not admitted. */
HttpResponse makeRefusal(uint64_t token, AdmissionOutcome outcome);

/** The response to a body that is larger than the server's limit. */
HttpResponse makeBodyTooLargeResponse(uint64_t token, size_t maxBodyBytes);

/** The response to a body that took too long. */
HttpResponse makeTimeoutResponse();

} // namespace marjoramferry
