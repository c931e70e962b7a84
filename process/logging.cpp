#include "process/logging.h"

#include "core/bounded_queue.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

namespace marjoramferry {

namespace {

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\\") != std::string::npos
        || std::ranges::any_of(value, absl::ascii_iscntrl);
}

std::string quoteIfNeeded(const std::string &value)
{
    if (!needsQuotes(value)) {
        return value;
    }
    std::string quoted = "\"";
    for (const char character : value) {
        switch (character) {
        case '"':
        case '\\':
            quoted += {'\\', character};
            break;
        case '\n':
            quoted += "\\n";
            break;
        case '\r':
            quoted += "\\r";
            break;
        case '\t':
            quoted += "\\t";
            break;
        default:
            if (absl::ascii_iscntrl(static_cast<unsigned char>(character))) {
                absl::StrAppend(&quoted, "\\x", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
            } else {
                quoted += character;
            }
        }
    }
    return quoted + "\"";
}

constexpr size_t LogQueueCapacity = 20'000;
constexpr size_t LogQueueBytes = size_t{4} << 20U; ///< Of the queued lines together.
constexpr size_t MaxValueBytes = 1024; ///< Callers choose request ids and paths, which may be as long as a header.
constexpr const char *TruncationMark = "...";
/** Time between batched writes of the queued lines. */
constexpr Milliseconds FlushInterval{200};

/** A log sink that queues lines for a writer thread. */
class AsyncSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    AsyncSink()
        : writer_([this](const std::stop_token &stop) { run(stop); })
    {
    }

    ~AsyncSink() override
    {
        writer_.request_stop();
        writer_.join();
        flushQueue();
    }

    void flushQueue()
    {
        const std::lock_guard<std::mutex> lock(outputMutex_);
        for (const std::string &line : lines_.popAll(Microseconds(0))) {
            queuedBytes_ -= line.size();
            std::fwrite(line.data(), 1, line.size(), stdout);
        }
        if (const uint64_t dropped = dropped_.exchange(0); dropped > 0) {
            std::fprintf(
                stdout, "level=warning event=log_lines_dropped count=%llu\n", static_cast<unsigned long long>(dropped));
        }
        std::fflush(stdout);
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        queuedBytes_ += formatted.size();
        if (queuedBytes_ > LogQueueBytes || !lines_.tryPush(std::string(formatted.data(), formatted.size()))) {
            queuedBytes_ -= formatted.size();
            ++dropped_;
        }
    }

    void flush_() override
    {
    }

private:
    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            flushQueue();
            std::this_thread::sleep_for(FlushInterval);
        }
    }

    BoundedQueue<std::string> lines_{LogQueueCapacity};
    std::atomic<size_t> queuedBytes_{0};
    std::atomic<uint64_t> dropped_{0};
    std::mutex outputMutex_;
    std::jthread writer_;
};

std::string truncateValue(const std::string &value)
{
    return value.size() <= MaxValueBytes ? value : value.substr(0, MaxValueBytes) + TruncationMark;
}

std::shared_ptr<AsyncSink> asyncSink;

} // namespace

void setUpAsyncLogging(const std::string &process, const std::string &level)
{
    asyncSink = std::make_shared<AsyncSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(process, asyncSink));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=%n %v");
    setLogLevel(level);
}

void flushLogging()
{
    if (asyncSink) {
        asyncSink->flushQueue();
    }
}

void setUpLogging(const std::string &process, const std::string &level)
{
    spdlog::set_default_logger(spdlog::stderr_logger_mt(process));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=%n %v");
    setLogLevel(level);
    spdlog::flush_on(spdlog::level::warn);
}

void setLogLevel(const std::string &level)
{
    spdlog::set_level(spdlog::level::from_str(level));
}

void writeLog(const LogEvent &event)
{
    std::string line = absl::StrCat("event=", event.event);
    for (const LogField &field : event.fields) {
        absl::StrAppend(&line, " ", field.key, "=", quoteIfNeeded(truncateValue(field.value)));
    }
    const auto level = event.level == LogEvent::Level::Warning ? spdlog::level::warn : spdlog::level::info;
    spdlog::log(level, line);
}

} // namespace marjoramferry
