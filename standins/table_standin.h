#pragma once

#include "connection/http_server.h"
#include "standins/table_model.h"
#include "standins/timer_queue.h"

#include <absl/synchronization/mutex.h>

#include <map>
#include <string>

namespace marjoramferry {

/** Faults of the table service that POST /faults switches. */
struct TableFaults
{
    Milliseconds latency{0};
    bool outage = false; ///< Answers 503 and does nothing.
    bool loseAnswers = false; ///< Transactions take effect and are answered 500.
};

/** The platform's table service and object store, in memory, over HTTP. */
class TableStandin
{
public:
    explicit TableStandin(const std::string &listenAddress);

private:
    bool onRequest(const HttpRequest &request);
    HttpResponse answer(const HttpRequest &request);
    HttpResponse answerTable(const HttpRequest &request);
    HttpResponse answerObject(const HttpRequest &request);
    void setFaults(const std::string &body);

    absl::Mutex mutex_;
    TableModel model_;
    std::map<std::string, std::string> objects_; ///< By path.
    TableFaults faults_;
    int64_t reads_ = 0;
    int64_t transactions_ = 0;
    TimerQueue delayed_;
    HttpServer http_;
};

} // namespace marjoramferry
