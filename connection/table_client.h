#pragma once

#include "connection/http_client.h"
#include "core/table.h"

#include <functional>
#include <string>

namespace marjoramferry {

/** Talks to the platform's table service over HTTP and JSON. */
class TableClient
{
public:
    using Done = std::function<void(TableResult)>;

    /** @p address is host:port of the service. */
    TableClient(HttpClient &http, std::string address, Milliseconds timeout);

    /** @p done is called on the HTTP client's thread. */
    void call(const TableRequest &request, Done done);

private:
    HttpClient &http_;
    const std::string address_;
    const Milliseconds timeout_;
};

} // namespace marjoramferry
