#pragma once

#include "connection/http_server.h"

#include <optional>

namespace marjoramferry {

/** Reserves memory for a request; returns the response to it if there is none. For the handlers of @p server. */
std::optional<HttpResponse> reserveMemory(HttpServer &server, const HttpRequest &request, size_t bytes);

/** Reserves memory for a JSON body and the tree that it is parsed into. */
std::optional<HttpResponse> reserveParsingMemory(HttpServer &server, const HttpRequest &request);

} // namespace marjoramferry
