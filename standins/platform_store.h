#pragma once

#include "connection/http_server.h"
#include "standins/timer_queue.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>

namespace marjoramferry {

/** Faults injected by POST /faults. */
struct StoreFaults
{
    Milliseconds latency{0};
    bool outage = false; ///< Requests have no effect and are answered with status 503.
    bool loseAnswers = false; ///< Transactions take effect but are answered with status 500.
    int64_t oldestFeedVersion = 0; ///< Changes before this version are discarded; status 410.
};

/** Simulates the platform's row store over HTTP: transactions, reads and the change feed. Rows are kept in memory. */
class PlatformStoreStandin
{
public:
    explicit PlatformStoreStandin(const std::string &listenAddress);

private:
    struct StoredRow
    {
        std::string value; ///< In base64, stored as received.
        int64_t version = 0;
        bool isDeleted = false;
    };

    bool onRequest(const HttpRequest &request);
    HttpResponse handle(const HttpRequest &request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    HttpResponse commit(const nlohmann::json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    HttpResponse read(const std::string &table) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /** Answers a feed request once there are changes or at @p deadline; checks again later otherwise. */
    void answerFeed(uint64_t token, const std::string &table, int64_t after, MonotonicTime deadline);
    nlohmann::json changesAfter(const std::string &table, int64_t after) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void setFaults(const nlohmann::json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    absl::Mutex mutex_;
    std::map<std::pair<std::string, std::string>, StoredRow> rows_ ABSL_GUARDED_BY(mutex_); ///< By table and key.
    int64_t version_ ABSL_GUARDED_BY(mutex_) = 0; ///< Grows with each transaction.
    StoreFaults faults_ ABSL_GUARDED_BY(mutex_);
    TimerQueue timers_;
    HttpServer http_;
};

} // namespace marjoramferry
