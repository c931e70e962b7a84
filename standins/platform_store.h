#pragma once

#include "connection/http_server.h"
#include "standins/timer_queue.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <utility>

namespace marjoramferry {

/** Faults of the store that POST /faults switches. */
struct StoreFaults
{
    Milliseconds latency{0};
    bool outage = false; ///< Answers 503 and does nothing.
    bool losesAnswers = false; ///< Writes take effect and are answered with nothing of use.
    int64_t forgottenBelow = 0; ///< History before this version is gone.
};

/** The platform's store of rows, in memory, over HTTP: transactions, reads and the feed of changes. */
class PlatformStoreStandin
{
public:
    explicit PlatformStoreStandin(const std::string &listenAddress);

private:
    struct StoredRow
    {
        std::string value; ///< As it came, in base64.
        int64_t version = 0;
        bool isDeleted = false;
    };

    bool onRequest(const HttpRequest &request);
    HttpResponse answer(const HttpRequest &request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    HttpResponse transact(const nlohmann::json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    HttpResponse read(const std::string &table) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void follow(uint64_t token, const std::string &table, int64_t after, MonotonicTime until);
    nlohmann::json changes(const std::string &table, int64_t after) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void setFaults(const nlohmann::json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    absl::Mutex mutex_;
    std::map<std::pair<std::string, std::string>, StoredRow> rows_ ABSL_GUARDED_BY(mutex_); ///< By table and key.
    int64_t version_ ABSL_GUARDED_BY(mutex_) = 0;
    StoreFaults faults_ ABSL_GUARDED_BY(mutex_);
    TimerQueue delayed_;
    HttpServer http_;
};

} // namespace marjoramferry
