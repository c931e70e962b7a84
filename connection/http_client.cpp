#include "connection/http_client.h"

#include "core/clock.h"

#include <absl/synchronization/mutex.h>
#include <curl/curl.h>

#include <algorithm>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjoramferry {

namespace {

constexpr int PollTimeoutMs = 1000;
constexpr long MaxIdleConnectionSeconds = 20; ///< Older idle connections are not reused.
constexpr size_t MaxResponseBytes = 64U << 20U;

constexpr const char *JsonContentType = "Content-Type: application/json";
/** Suppresses the "Expect: 100-continue" header, with which curl waits before it sends a larger body. */
constexpr const char *NoExpectHeader = "Expect:";

/** The state of a call, from its submission to its callback. */
struct Transfer
{
    HttpCall call;
    HttpClient::Callback callback;
    std::string responseBody;
    int sendCount = 0;
    bool isPastDeadline = false;
    curl_slist *headers = nullptr; ///< Null if the call adds no headers of its own.

    ~Transfer()
    {
        curl_slist_free_all(headers);
    }
};

size_t onResponseData(char *data, size_t, size_t size, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->responseBody.size() + size > MaxResponseBytes) {
        return 0;
    }
    transfer->responseBody.append(data, size);
    return size;
}

/** Called right before a request is sent. Aborts it if it is past its send deadline, or if libcurl retries it. */
int onBeforeRequest(void *context, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(context);
    const auto &sendDeadline = transfer->call.sendDeadline;
    if (sendDeadline && monotonicNow() >= *sendDeadline) {
        transfer->isPastDeadline = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer->sendCount > 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer->sendCount;
    return CURL_PREREQFUNC_OK;
}

/** Reports a call that its client does not continue, because it stops. */
void endTransfer(const Transfer &transfer)
{
    HttpResult result;
    result.outcome = transfer.sendCount == 0 ? HttpOutcome::NotSent : HttpOutcome::Uncertain;
    result.errorMessage = "the HTTP client has stopped";
    transfer.callback(std::move(result));
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(long connectionsPerHost);
    ~Impl();

    void call(HttpCall call, Callback callback);
    void stop();

private:
    /** Calls that are accepted but not started, in order. */
    using Queue = std::vector<std::unique_ptr<Transfer>>;

    void run();
    bool tryEnqueue(std::unique_ptr<Transfer> &transfer);
    Queue takeQueue();
    bool isStopping();
    void startQueuedTransfers();
    void completeTransfers();
    void endTransfers();
    CURL *prepareHandle(Transfer &transfer);

    CURLM *multi_;
    curl_slist *headers_;
    absl::Mutex mutex_;
    /** Has no limit: the I/O thread starts all calls in it at once, and must not wait for itself when it adds one. */
    Queue queue_ ABSL_GUARDED_BY(mutex_);
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool isStopped_ ABSL_GUARDED_BY(mutex_) = false; ///< The I/O thread takes no more calls from the queue.
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> activeTransfers_;
    std::vector<CURL *> idleHandles_;
    std::thread thread_;
};

HttpClient::Impl::Impl(long connectionsPerHost)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    headers_ = curl_slist_append(nullptr, JsonContentType);
    headers_ = curl_slist_append(headers_, NoExpectHeader);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerHost);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connectionsPerHost);
    thread_ = std::thread([this] { run(); });
}

HttpClient::Impl::~Impl()
{
    stop();
    for (CURL *handle : idleHandles_) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
}

void HttpClient::Impl::call(HttpCall call, Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->callback = std::move(callback);
    if (tryEnqueue(transfer)) {
        curl_multi_wakeup(multi_);
    } else {
        endTransfer(*transfer);
    }
}

/** Takes @p transfer, unless the client has stopped. */
bool HttpClient::Impl::tryEnqueue(std::unique_ptr<Transfer> &transfer)
{
    absl::MutexLock lock(&mutex_);
    if (isStopped_) {
        return false;
    }
    queue_.push_back(std::move(transfer));
    return true;
}

void HttpClient::Impl::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    {
        absl::MutexLock lock(&mutex_);
        isStopping_ = true;
    }
    curl_multi_wakeup(multi_);
    thread_.join();
}

HttpClient::Impl::Queue HttpClient::Impl::takeQueue()
{
    absl::MutexLock lock(&mutex_);
    return std::exchange(queue_, {});
}

bool HttpClient::Impl::isStopping()
{
    absl::MutexLock lock(&mutex_);
    return isStopping_;
}

void HttpClient::Impl::run()
{
    while (!isStopping()) {
        startQueuedTransfers();
        int runningCount = 0;
        curl_multi_perform(multi_, &runningCount);
        completeTransfers();
        curl_multi_poll(multi_, nullptr, 0, PollTimeoutMs, nullptr);
    }
    endTransfers();
}

void HttpClient::Impl::startQueuedTransfers()
{
    for (std::unique_ptr<Transfer> &transfer : takeQueue()) {
        CURL *handle = prepareHandle(*transfer);
        activeTransfers_[handle] = std::move(transfer);
        curl_multi_add_handle(multi_, handle);
    }
}

void HttpClient::Impl::endTransfers()
{
    for (const auto &[handle, transfer] : activeTransfers_) {
        curl_multi_remove_handle(multi_, handle);
        idleHandles_.push_back(handle);
        endTransfer(*transfer);
    }
    activeTransfers_.clear();
    bool isQueueEmpty = false;
    while (!isQueueEmpty) {
        std::ranges::for_each(takeQueue(), [](const auto &transfer) { endTransfer(*transfer); });
        absl::MutexLock lock(&mutex_);
        isQueueEmpty = queue_.empty();
        isStopped_ = isQueueEmpty;
    }
}

CURL *HttpClient::Impl::prepareHandle(Transfer &transfer)
{
    CURL *handle = idleHandles_.empty() ? curl_easy_init() : idleHandles_.back();
    if (!idleHandles_.empty()) {
        idleHandles_.pop_back();
        curl_easy_reset(handle);
    }
    curl_easy_setopt(handle, CURLOPT_URL, transfer.call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    for (const std::string &header : transfer.call.headers) {
        transfer.headers = curl_slist_append(transfer.headers, header.c_str());
    }
    if (transfer.headers != nullptr) {
        transfer.headers = curl_slist_append(transfer.headers, JsonContentType);
        transfer.headers = curl_slist_append(transfer.headers, NoExpectHeader);
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers != nullptr ? transfer.headers : headers_);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, MaxIdleConnectionSeconds);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, transfer.call.usesNewConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onResponseData);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, onBeforeRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, transfer.call.method.c_str());
    if (transfer.call.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer.call.body.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer.call.body.size()));
    }
    return handle;
}

void HttpClient::Impl::completeTransfers()
{
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(multi_, &remaining)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *handle = message->easy_handle;
        const CURLcode code = message->data.result;
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(multi_, handle);
        idleHandles_.push_back(handle);
        const auto found = activeTransfers_.find(handle);
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        activeTransfers_.erase(found);
        HttpResult result;
        result.status = static_cast<int>(status);
        result.body = std::move(transfer->responseBody);
        if (code == CURLE_OK) {
            result.outcome = HttpOutcome::Answered;
        } else {
            result.outcome = transfer->sendCount == 0 ? HttpOutcome::NotSent : HttpOutcome::Uncertain;
            result.isRefused = code == CURLE_COULDNT_CONNECT;
            result.isBrokenOff = !result.isRefused && code != CURLE_OPERATION_TIMEDOUT && !transfer->isPastDeadline;
            result.errorMessage = transfer->isPastDeadline ? "send deadline passed before the request was sent"
                                                           : curl_easy_strerror(code);
        }
        transfer->callback(std::move(result));
    }
}

HttpClient::HttpClient(long connectionsPerHost)
    : impl_(std::make_unique<Impl>(connectionsPerHost))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::stop()
{
    impl_->stop();
}

void HttpClient::call(HttpCall call, Callback callback)
{
    impl_->call(std::move(call), std::move(callback));
}

} // namespace marjoramferry
