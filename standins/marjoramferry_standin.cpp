#include "core/error.h"
#include "standins/endpoint_standin.h"
#include "standins/platform_store.h"
#include "standins/platform_worker.h"
#include "standins/table_standin.h"

#include <boost/program_options.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <map>

namespace options = boost::program_options;
using namespace marjoramferry;

namespace {

std::atomic<bool> isStopping{false};

void onSignal(int)
{
    isStopping = true;
}

int runTable(const options::variables_map &arguments)
{
    const TableStandin table(arguments["listen"].as<std::string>());
    while (!isStopping) {
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return 0;
}

int runEndpoint(const options::variables_map &arguments)
{
    EndpointOptions endpoint;
    endpoint.listenAddress = arguments["listen"].as<std::string>();
    endpoint.agentAddress = arguments["agent"].as<std::string>();
    endpoint.name = arguments["name"].as<std::string>();
    endpoint.service = arguments["service"].as<std::string>();
    endpoint.slots = arguments["slots"].as<int>();
    endpoint.startLog = arguments["start-log"].as<std::string>();
    EndpointStandin standin(endpoint);
    standin.run([] { return isStopping.load(); });
    return 0;
}

int runStore(const options::variables_map &arguments)
{
    const PlatformStoreStandin store(arguments["listen"].as<std::string>());
    while (!isStopping) {
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return 0;
}

int runWorker(const options::variables_map &arguments)
{
    PlatformWorkerOptions worker;
    worker.listenAddress = arguments["listen"].as<std::string>();
    worker.announcedAddress = arguments["announced-address"].as<std::string>();
    worker.agentAddress = arguments["agent"].as<std::string>();
    worker.name = arguments["name"].as<std::string>();
    worker.service = arguments["service"].as<std::string>();
    worker.domain = arguments["domain"].as<std::string>();
    worker.runLog = arguments["start-log"].as<std::string>();
    worker.cpuMillis = arguments["cpu-millis"].as<int>();
    worker.lateEvery = arguments["late-every"].as<int>();
    worker.lateStartDelay = Milliseconds(arguments["late-ms"].as<int>());
    worker.dropsLateStartsOnRestart = arguments["drop-late-on-restart"].as<bool>();
    PlatformWorkerStandin standin(worker);
    standin.run([] { return isStopping.load(); });
    return 0;
}

using RunFunction = int (*)(const options::variables_map &);
const std::map<std::string, RunFunction> RunFunctions
    = {{"table", &runTable}, {"endpoint", &runEndpoint}, {"store", &runStore}, {"worker", &runWorker}};

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("marjoramferry-standin table|endpoint|store|worker [options]");
    description.add_options()("kind", options::value<std::string>(), "table, endpoint, store or worker")(
        "listen", options::value<std::string>()->required(), "host:port to listen on")(
        "agent", options::value<std::string>()->default_value(""), "host:port of the HTTP interface of the agent")(
        "announced-address",
        options::value<std::string>()->default_value(""),
        "host:port at which the agent calls the worker, if not the one it listens on")(
        "name", options::value<std::string>()->default_value("endpoint"), "name of the endpoint or worker")(
        "service", options::value<std::string>()->default_value("orders"), "service of the endpoint or worker")(
        "slots", options::value<int>()->default_value(8), "limit of concurrent tasks of the endpoint")(
        "domain", options::value<std::string>()->default_value("north"), "failure domain of the worker")(
        "cpu-millis", options::value<int>()->default_value(32'000), "capacity of the worker, in thousandths of a core")(
        "late-every", options::value<int>()->default_value(0), "one in so many starts stays unanswered; 0 for none")(
        "late-ms", options::value<int>()->default_value(2500), "delay after which the worker executes such a start")(
        "drop-late-on-restart",
        options::bool_switch(),
        "a worker that restarts does not execute the late starts of the process before it")(
        "start-log", options::value<std::string>()->default_value(""), "file for a log of task starts; empty for none");
    options::positional_options_description positions;
    positions.add("kind", 1);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        options::variables_map arguments;
        options::store(options::command_line_parser(argc, argv).options(description).positional(positions).run(),
                       arguments);
        options::notify(arguments);
        const std::string kind = arguments.count("kind") != 0 ? arguments["kind"].as<std::string>() : std::string();
        if (const auto found = RunFunctions.find(kind); found != RunFunctions.end()) {
            return found->second(arguments);
        }
        std::cerr << "the kind of stand-in is missing or unknown; give table, endpoint, store or worker\n"
                  << description;
        return 2;
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    } catch (const Error &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
