#include "process/logging.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

} // namespace

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
