#pragma once

#include "connection/http_server.h"
#include "standins/table_model.h"
#include "standins/timer_queue.h"

#include <absl/synchronization/mutex.h>

#include <map>
#include <string>

namespace marjoramferry {

/** Faults injected by POST /faults. */
struct TableFaults
{
    Milliseconds latency{0};
    bool outage = false; ///< Requests have no effect and are answered with status 503.
    bool loseAnswers = false; ///< Transactions take effect but are answered with status 500.
};

/** Simulates the platform's table service and object store over HTTP. All data is kept in memory. */
class TableStandin
{
public:
    explicit TableStandin(const std::string &listenAddress);

private:
    bool onRequest(const HttpRequest &request);
    HttpResponse handle(const HttpRequest &request);
    HttpResponse handleTable(const HttpRequest &request);
    HttpResponse handleObject(const HttpRequest &request);
    void setFaults(const std::string &body);

    absl::Mutex mutex_;
    TableModel model_;
    std::map<std::string, std::string> objects_; ///< By path.
    TableFaults faults_;
    int64_t readCount_ = 0;
    int64_t transactionCount_ = 0;
    TimerQueue timers_;
    HttpServer http_;
};

} // namespace marjoramferry
