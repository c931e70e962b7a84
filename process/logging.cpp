#include "process/logging.h"

#include "core/bounded_queue.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

namespace marjoramferry {

namespace {

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\n\\") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    if (!needsQuotes(value)) {
        return value;
    }
    return absl::StrCat("\"", absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}), "\"");
}

constexpr size_t QueuedLines = 20'000;
/** How long lines may be queued before they are written together. */
constexpr Milliseconds WritePause{200};

/** Queues lines for a thread that writes them. */
class QueuedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    QueuedSink()
        : writer_([this](const std::stop_token &stop) { run(stop); })
    {
    }

    ~QueuedSink() override
    {
        writer_.request_stop();
        writer_.join();
        writeQueued();
    }

    void writeQueued()
    {
        const std::lock_guard<std::mutex> lock(writing_);
        for (const std::string &line : lines_.popAll(Microseconds(0))) {
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
        if (!lines_.tryPush(std::string(formatted.data(), formatted.size()))) {
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
            writeQueued();
            std::this_thread::sleep_for(WritePause);
        }
    }

    BoundedQueue<std::string> lines_{QueuedLines};
    std::atomic<uint64_t> dropped_{0};
    std::mutex writing_;
    std::jthread writer_;
};

std::shared_ptr<QueuedSink> queuedSink;

} // namespace

void setUpQueuedLogging(const std::string &process, const std::string &level)
{
    queuedSink = std::make_shared<QueuedSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(process, queuedSink));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=%n %v");
    setLogLevel(level);
}

void finishLogging()
{
    if (queuedSink) {
        queuedSink->writeQueued();
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
        absl::StrAppend(&line, " ", field.key, "=", quoted(field.value));
    }
    const auto level = event.level == LogEvent::Level::Warning ? spdlog::level::warn : spdlog::level::info;
    spdlog::log(level, line);
}

} // namespace marjoramferry
