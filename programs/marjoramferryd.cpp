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

std::string logLevelOf(const Settings &settings)
{
    return std::visit([](const auto &each) { return each.logLevel; }, settings);
}

void reloadLogLevel(const std::string &path)
{
    try {
        setLogLevel(logLevelOf(readSettings(path)));
        writeLog(LogEvent{LogEvent::Level::Info, "log_level_reloaded", {}});
    } catch (const Error &error) {
        writeLog(LogEvent{LogEvent::Level::Warning, "reload_refused", {{"reason", error.what()}}});
    }
}

/** Waits for signals on a thread of its own: SIGHUP reloads the log level, the others drain. */
template<typename Process>
void runWithSignals(Process &process, const std::string &path)
{
    std::jthread waiter([&](const std::stop_token &stop) {
        const sigset_t set = handledSignals();
        constexpr timespec Pause{0, 100'000'000};
        while (!stop.stop_requested()) {
            const int signal = sigtimedwait(&set, nullptr, &Pause);
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
    // Debian's Abseil looks for deadlocks at every lock, which is meant for tests.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    std::visit(
        Overloaded{
            [&](const EntrySettings &each) {
                setUpLogging(each.options.name, each.logLevel);
                EntryProcess process(each);
                writeLog(LogEvent{LogEvent::Level::Info, "started", {{"role", "entry"}, {"http", each.httpListen}}});
                runWithSignals(process, path);
            },
            [&](const AgentSettings &each) {
                setUpLogging(each.identity.name, each.logLevel);
                AgentProcess process(each);
                writeLog(LogEvent{LogEvent::Level::Info, "started", {{"role", "agent"}, {"http", each.httpListen}}});
                runWithSignals(process, path);
            },
            [&](const WorkEntrySettings &each) {
                setUpQueuedLogging(each.options.name, each.logLevel);
                WorkEntryProcess process(each);
                writeLog(LogEvent{LogEvent::Level::Info,
                                  "started",
                                  {{"role", "work-entry"},
                                   {"http", each.httpListen},
                                   {"links", each.linkListen},
                                   {"incarnation", each.options.incarnation}}});
                runWithSignals(process, path);
            },
            [&](const WorkAgentSettings &each) {
                setUpQueuedLogging(each.options.name, each.logLevel);
                WorkAgentProcess process(each);
                writeLog(LogEvent{LogEvent::Level::Info,
                                  "started",
                                  {{"role", "work-agent"},
                                   {"http", each.httpListen},
                                   {"fence", std::to_string(each.options.initialFence)},
                                   {"incarnation", each.options.incarnation}}});
                runWithSignals(process, path);
            },
        },
        settings);
    writeLog(LogEvent{LogEvent::Level::Info, "stopped", {}});
    finishLogging();
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("marjoramferryd --config FILE");
    description.add_options()("config", options::value<std::string>(), "the INI file with the settings")(
        "check-config", "check the settings and exit")("help", "show this text");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") != 0) {
            std::cout << description;
            return ExitOk;
        }
        if (arguments.count("config") == 0) {
            std::cerr << "--config is missing; give the path of an INI file\n" << description;
            return ExitUsage;
        }
        const auto path = arguments["config"].as<std::string>();
        const Settings settings = readSettings(path);
        if (arguments.count("check-config") != 0) {
            std::cout << path << ": settings are sound\n";
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
