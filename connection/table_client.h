#pragma once

#include "connection/http_client.h"
#include "core/table.h"

#include <functional>
#include <string>

namespace marjoramferry {

/** A client of the platform's table service, over HTTP with JSON bodies. */
class TableClient
{
public:
    using Callback = std::function<void(TableResult)>;

    /** @p address is host:port of the service. */
    TableClient(HttpClient &http, std::string address, Milliseconds timeout);

    /** @p callback is called on the HTTP client's thread. */
    void call(const TableRequest &request, Callback callback);

private:
    HttpClient &http_;
    const std::string address_;
    const Milliseconds timeout_;
};

} // namespace marjoramferry
