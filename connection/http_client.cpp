#include "connection/http_client.h"

#include "core/bounded_queue.h"
#include "core/clock.h"

#include <curl/curl.h>

#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjoramferry {

namespace {

constexpr size_t MaxQueuedCalls = 1U << 16U;
constexpr int PollTimeoutMs = 1000;
constexpr long IdleConnectionSeconds = 20;
constexpr size_t MaxAnswerBytes = 64U << 20U;

constexpr const char *JsonBody = "Content-Type: application/json";
/** Without this, curl waits for a "100 Continue" before larger bodies. */
constexpr const char *NoExpect = "Expect:";

/** A call under way. */
struct Transfer
{
    HttpCall call;
    HttpClient::Done done;
    std::string answer;
    int timesSent = 0;
    bool isLate = false;
    curl_slist *headers = nullptr; ///< Of this call alone.

    ~Transfer()
    {
        curl_slist_free_all(headers);
    }
};

size_t onBody(char *data, size_t, size_t size, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->answer.size() + size > MaxAnswerBytes) {
        return 0;
    }
    transfer->answer.append(data, size);
    return size;
}

/** Called right before a request goes out: the last look at the clock, and at whether it went out before. */
int onBeforeRequest(void *context, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(context);
    const auto &notAfter = transfer->call.sendDeadline;
    if (notAfter && monotonicNow() >= *notAfter) {
        transfer->isLate = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer->timesSent > 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer->timesSent;
    return CURL_PREREQFUNC_OK;
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(long connectionsPerHost);
    ~Impl();

    void call(HttpCall call, Done done);

private:
    void run();
    void startQueued();
    void finishDone();
    CURL *makeHandle(Transfer &transfer);

    CURLM *multi_;
    curl_slist *headers_;
    BoundedQueue<std::unique_ptr<Transfer>> queued_{MaxQueuedCalls};
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> running_;
    std::vector<CURL *> spare_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

HttpClient::Impl::Impl(long connectionsPerHost)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    headers_ = curl_slist_append(nullptr, JsonBody);
    headers_ = curl_slist_append(headers_, NoExpect);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerHost);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connectionsPerHost);
    thread_ = std::thread([this] { run(); });
}

HttpClient::Impl::~Impl()
{
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (const auto &[handle, transfer] : running_) {
        curl_multi_remove_handle(multi_, handle);
        curl_easy_cleanup(handle);
    }
    for (CURL *handle : spare_) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
}

void HttpClient::Impl::call(HttpCall call, Done done)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    queued_.push(std::move(transfer));
    curl_multi_wakeup(multi_);
}

void HttpClient::Impl::run()
{
    while (!stopping_) {
        startQueued();
        int active = 0;
        curl_multi_perform(multi_, &active);
        finishDone();
        curl_multi_poll(multi_, nullptr, 0, PollTimeoutMs, nullptr);
    }
}

void HttpClient::Impl::startQueued()
{
    for (std::unique_ptr<Transfer> &transfer : queued_.popAll(Microseconds(0))) {
        CURL *handle = makeHandle(*transfer);
        running_[handle] = std::move(transfer);
        curl_multi_add_handle(multi_, handle);
    }
}

CURL *HttpClient::Impl::makeHandle(Transfer &transfer)
{
    CURL *handle = spare_.empty() ? curl_easy_init() : spare_.back();
    if (!spare_.empty()) {
        spare_.pop_back();
        curl_easy_reset(handle);
    }
    curl_easy_setopt(handle, CURLOPT_URL, transfer.call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    for (const std::string &header : transfer.call.headers) {
        transfer.headers = curl_slist_append(transfer.headers, header.c_str());
    }
    if (transfer.headers != nullptr) {
        transfer.headers = curl_slist_append(transfer.headers, JsonBody);
        transfer.headers = curl_slist_append(transfer.headers, NoExpect);
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers != nullptr ? transfer.headers : headers_);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(transfer.call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, IdleConnectionSeconds);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
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

void HttpClient::Impl::finishDone()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *handle = message->easy_handle;
        const CURLcode code = message->data.result;
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(multi_, handle);
        spare_.push_back(handle);
        const auto found = running_.find(handle);
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        running_.erase(found);
        HttpResult result;
        result.status = static_cast<int>(status);
        result.body = std::move(transfer->answer);
        if (code == CURLE_OK) {
            result.outcome = HttpOutcome::Answered;
        } else {
            result.outcome = transfer->timesSent == 0 ? HttpOutcome::NotSent : HttpOutcome::Uncertain;
            result.errorMessage = transfer->isLate ? "too late to start" : curl_easy_strerror(code);
        }
        transfer->done(std::move(result));
    }
}

HttpClient::HttpClient(long connectionsPerHost)
    : impl_(std::make_unique<Impl>(connectionsPerHost))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Done done)
{
    impl_->call(std::move(call), std::move(done));
}

} // namespace marjoramferry
