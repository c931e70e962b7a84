#pragma once

#include "event/http_event.h"

#include <microhttpd.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** Reads requests from the HTTP library and hands responses to it. */
namespace marjoramferry {

/** Returns the headers with the @p names, which are in lower case. */
std::map<std::string, std::string> readHeaders(MHD_Connection *connection, const std::vector<std::string> &names);

std::map<std::string, std::string> readQuery(MHD_Connection *connection);

/** Returns the announced size of the body: 0 if there is none, or it comes in chunks and its size is unknown. */
uint64_t announcedBodyBytes(MHD_Connection *connection);

/** What the texts of a request's header take, here and in the call that is made from them. */
size_t headerBytes(const HttpRequest &request);

/** Rounds up to the whole seconds of the Retry-After header. */
int retryAfterSeconds(const HttpResponse &response);

MHD_Result queueResponse(MHD_Connection *connection, const HttpResponse &response);

} // namespace marjoramferry
