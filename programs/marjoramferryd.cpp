#include "core/error.h"
#include "process/agent_process.h"
#include "process/entry_process.h"
#include "process/logging.h"
#include "process/settings.h"
#include "process/work_agent_process.h"
#include "process/work_entry_process.h"

#include <absl/synchronization/mutex.h>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace options = boost::program_options;
using namespace marjoramferry;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

std::string getLogLevel(const Settings &settings)
{
    return std::visit([](const auto &roleSettings) { return roleSettings.logLevel; }, settings);
}

void reloadLogLevel(const std::string &path)
{
    try {
        setLogLevel(getLogLevel(readSettings(path)));
        writeLog(LogEvent{LogEvent::Level::Info, "log_level_reloaded", {}});
    } catch (const Error &error) {
        writeLog(LogEvent{LogEvent::Level::Warning, "log_level_reload_failed", {{"reason", error.what()}}});
    }
}

/** Runs the process with a thread for signals: SIGHUP reloads the log level, SIGTERM and SIGINT start draining. */
template<typename Process>
void runWithSignals(Process &process, const std::string &path)
{
    std::jthread signalThread([&](const std::stop_token &stop) {
        const sigset_t set = handledSignals();
        constexpr timespec PollInterval{0, 100'000'000};
        while (!stop.stop_requested()) {
            const int signal = sigtimedwait(&set, nullptr, &PollInterval);
            if (signal == SIGHUP) {
                reloadLogLevel(path);
            } else if (signal > 0) {
                process.drain();
            }
        }
    });
    process.run();
}

int runDaemon(const Settings &settings, const std::string &path)
{
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // Debian builds Abseil with deadlock detection on every lock, which is meant for tests.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    std::visit(Overloaded{
                   [&](const EntrySettings &roleSettings) {
                       setUpLogging(roleSettings.options.name, roleSettings.logLevel);
                       EntryProcess process(roleSettings);
                       writeLog(LogEvent{
                           LogEvent::Level::Info, "started", {{"role", "entry"}, {"http", roleSettings.httpListen}}});
                       runWithSignals(process, path);
                   },
                   [&](const AgentSettings &roleSettings) {
                       setUpLogging(roleSettings.identity.name, roleSettings.logLevel);
                       AgentProcess process(roleSettings);
                       writeLog(LogEvent{
                           LogEvent::Level::Info, "started", {{"role", "agent"}, {"http", roleSettings.httpListen}}});
                       runWithSignals(process, path);
                   },
                   [&](const WorkEntrySettings &roleSettings) {
                       setUpAsyncLogging(roleSettings.options.name, roleSettings.logLevel);
                       WorkEntryProcess process(roleSettings);
                       writeLog(LogEvent{LogEvent::Level::Info,
                                         "started",
                                         {{"role", "work-entry"},
                                          {"http", roleSettings.httpListen},
                                          {"links", roleSettings.linkListen},
                                          {"incarnation", roleSettings.options.incarnation}}});
                       runWithSignals(process, path);
                   },
                   [&](const WorkAgentSettings &roleSettings) {
                       setUpAsyncLogging(roleSettings.options.name, roleSettings.logLevel);
                       WorkAgentProcess process(roleSettings);
                       writeLog(LogEvent{LogEvent::Level::Info,
                                         "started",
                                         {{"role", "work-agent"},
                                          {"http", roleSettings.httpListen},
                                          {"fence", std::to_string(roleSettings.options.initialFence)},
                                          {"incarnation", roleSettings.options.incarnation}}});
                       runWithSignals(process, path);
                   },
               },
               settings);
    writeLog(LogEvent{LogEvent::Level::Info, "stopped", {}});
    flushLogging();
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("marjoramferryd --config FILE");
    description.add_options()("config", options::value<std::string>(), "path of the INI file with the settings")(
        "check-config", "validate the settings and exit")("help", "show this text");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") != 0) {
            std::cout << description;
            return ExitOk;
        }
        if (arguments.count("config") == 0) {
            std::cerr << "--config is missing; pass the path of an INI file\n" << description;
            return ExitUsage;
        }
        const auto path = arguments["config"].as<std::string>();
        const Settings settings = readSettings(path);
        if (arguments.count("check-config") != 0) {
            std::cout << path << ": settings are valid\n";
            return ExitOk;
        }
        return runDaemon(settings, path);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return ExitUsage;
    } catch (const Error &error) {
        std::cerr << error.what() << "\n";
        return error.kind() == ErrorKind::Settings ? ExitUsage : ExitFailed;
    }
}
