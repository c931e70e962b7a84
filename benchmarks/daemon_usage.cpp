#include "benchmarks/daemon_usage.h"

#include "connection/http_client.h"
#include "core/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <unistd.h>

#include <fstream>
#include <future>
#include <sstream>

namespace marjoramferry::bench {

namespace {

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

double cpuSecondsOf(int processId)
{
    const std::string stat = readFile(absl::StrCat("/proc/", processId, "/stat"));
    const size_t afterName = stat.rfind(')');
    if (afterName == std::string::npos) {
        return 0;
    }
    // Behind the name, the first field is the state; fields 12 and 13 are user and system time.
    std::istringstream fields(stat.substr(afterName + 2));
    std::vector<std::string> values((std::istream_iterator<std::string>(fields)), std::istream_iterator<std::string>());
    constexpr size_t UserTime = 11;
    constexpr size_t SystemTime = 12;
    const double ticks = std::stod(values.at(UserTime)) + std::stod(values.at(SystemTime));
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMbOf(int processId)
{
    std::istringstream statm(readFile(absl::StrCat("/proc/", processId, "/statm")));
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    constexpr double BytesPerMb = 1024.0 * 1024.0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

std::string fetchMetrics(const std::string &metricsAddress)
{
    HttpClient client(1);
    std::promise<HttpResult> promise;
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + metricsAddress + "/metrics";
    client.call(std::move(call), [&](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get().body;
}

uint64_t counterValue(const std::string &metrics, const std::string &name)
{
    const std::string key = "\nmarjoramferry_" + name + " ";
    const size_t at = metrics.find(key);
    return at == std::string::npos ? 0 : std::stoull(metrics.substr(at + key.size()));
}

} // namespace

MonitoredDaemon parseMonitoredDaemon(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, absl::MaxSplits(':', 2));
    MonitoredDaemon daemon;
    if (parts.size() < 2 || !absl::SimpleAtoi(parts[1], &daemon.processId)) {
        throw Error(ErrorKind::Malformed,
                    "--watch",
                    "\"" + text + "\" does not name a daemon",
                    "give name:pid or name:pid:host:port");
    }
    daemon.name = parts[0];
    daemon.metricsAddress = parts.size() > 2 ? parts[2] : std::string();
    return daemon;
}

DaemonUsage readUsage(const MonitoredDaemon &daemon)
{
    DaemonUsage usage;
    usage.cpuSeconds = cpuSecondsOf(daemon.processId);
    usage.residentMb = residentMbOf(daemon.processId);
    if (daemon.metricsAddress.empty()) {
        return usage;
    }
    const std::string metrics = fetchMetrics(daemon.metricsAddress);
    usage.messagesIn = counterValue(metrics, "link_messages_in_total");
    usage.messagesOut = counterValue(metrics, "link_messages_out_total");
    usage.bytesIn = counterValue(metrics, "link_bytes_in_total");
    usage.bytesOut = counterValue(metrics, "link_bytes_out_total");
    return usage;
}

} // namespace marjoramferry::bench
