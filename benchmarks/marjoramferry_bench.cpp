#include "benchmarks/daemon_usage.h"
#include "benchmarks/ideal_schedule.h"
#include "benchmarks/load_plan.h"
#include "benchmarks/load_run.h"
#include "core/error.h"

#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace options = boost::program_options;
using namespace marjoramferry;
using namespace marjoramferry::bench;
using nlohmann::json;

namespace {

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto index = static_cast<size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

json summarizeResponseTimes(const std::vector<JobOutcome> &outcomes, const std::vector<double> &ideal)
{
    std::vector<double> responseTimes;
    std::vector<double> idealTimes;
    for (size_t index = 0; index < outcomes.size(); ++index) {
        if (outcomes[index].kind == "complete") {
            responseTimes.push_back(outcomes[index].responseMs);
            idealTimes.push_back(ideal[index]);
        }
    }
    constexpr double Median = 0.5;
    constexpr double Percentile99 = 0.99;
    const double idealMedian = quantile(idealTimes, Median);
    const double idealPercentile99 = quantile(idealTimes, Percentile99);
    return {{"median_ms", quantile(responseTimes, Median)},
            {"p99_ms", quantile(responseTimes, Percentile99)},
            {"ideal_median_ms", idealMedian},
            {"ideal_p99_ms", idealPercentile99},
            {"median_ratio", idealMedian > 0 ? quantile(responseTimes, Median) / idealMedian : 0},
            {"p99_ratio", idealPercentile99 > 0 ? quantile(responseTimes, Percentile99) / idealPercentile99 : 0}};
}

json usageReport(const MonitoredDaemon &daemon, const DaemonUsage &before, const DaemonUsage &after, double seconds)
{
    return {{"name", daemon.name},
            {"cpu_share", (after.cpuSeconds - before.cpuSeconds) / seconds},
            {"cpu_seconds", after.cpuSeconds - before.cpuSeconds},
            {"resident_mb", after.residentMb},
            {"messages_out", after.messagesOut - before.messagesOut},
            {"messages_in", after.messagesIn - before.messagesIn},
            {"bytes_in_per_s", static_cast<double>(after.bytesIn - before.bytesIn) / seconds},
            {"bytes_out_per_s", static_cast<double>(after.bytesOut - before.bytesOut) / seconds}};
}

/** Counts the tasks of complete jobs by the second of the run in which the job ended. */
json tasksDoneBySecond(const std::vector<JobOutcome> &outcomes)
{
    std::vector<int> done;
    for (const JobOutcome &outcome : outcomes) {
        const auto second
            = static_cast<size_t>(std::chrono::duration_cast<std::chrono::seconds>(outcome.endTime).count());
        done.resize(std::max(done.size(), second + 1));
        done[second] += outcome.kind == "complete" ? outcome.tasks : 0;
    }
    return done;
}

options::options_description describeOptions(LoadShape &shape)
{
    options::options_description description("marjoramferry-bench --entries HOST:PORT,... [options]");
    description.add_options()(
        "entries", options::value<std::string>(), "host:port of the HTTP interface of each entry, separated by commas")(
        "rate", options::value(&shape.jobsPerSecond), "jobs per second")(
        "seconds", options::value(&shape.seconds), "length")(
        "tasks-min", options::value(&shape.fewestTasks), "minimum number of tasks per job")(
        "tasks-max", options::value(&shape.mostTasks), "maximum number of tasks per job")(
        "run-min-ms", options::value(&shape.shortestMs), "minimum run time of a task")(
        "run-max-ms", options::value(&shape.longestMs), "maximum run time of a task; 0 for empty tasks")(
        "long-share", options::value(&shape.longShare), "share of tasks that take four times the maximum run time")(
        "declared-error", options::value(&shape.declaredError), "factor by which declared run times deviate, at most")(
        "burst-share", options::value(&shape.burstShare), "share of jobs that arrive together with the previous one")(
        "deadline-ms", options::value(&shape.deadlineMs), "deadline of each job")(
        "tenant", options::value(&shape.tenant), "tenant")("service", options::value(&shape.service), "service")(
        "prefix", options::value(&shape.prefix), "prefix of the job ids")("seed", options::value(&shape.seed), "seed")(
        "load", options::value<double>(), "average share of slots to keep busy; replaces the rate")(
        "slots", options::value<int>()->default_value(88), "total number of slots of all endpoints")(
        "in-flight",
        options::value<int>()->default_value(0),
        "number of jobs to keep in flight, instead of submitting at planned times; 0 for off")(
        "watch",
        options::value<std::vector<std::string>>()->default_value({}, ""),
        "daemon to measure, as name:pid or name:pid:host:port; can be repeated")(
        "out", options::value<std::string>()->default_value(""), "file for the JSON report")("help", "show this text");
    return description;
}

int runBench(const options::variables_map &arguments, LoadShape shape)
{
    const int slots = arguments["slots"].as<int>();
    if (arguments.count("load") != 0) {
        const double tasksPerJob = (shape.fewestTasks + shape.mostTasks) / 2.0;
        shape.jobsPerSecond = arguments["load"].as<double>() * slots * 1000 / meanTaskMs(shape) / tasksPerJob;
    }
    const std::vector<std::string> entries = absl::StrSplit(arguments["entries"].as<std::string>(), ',');
    std::vector<MonitoredDaemon> daemons;
    std::ranges::transform(
        arguments["watch"].as<std::vector<std::string>>(), std::back_inserter(daemons), parseMonitoredDaemon);
    const std::vector<PlannedJob> jobs = planLoad(shape);
    std::vector<DaemonUsage> before;
    std::ranges::transform(daemons, std::back_inserter(before), readUsage);
    const auto startTime = std::chrono::steady_clock::now();
    const int inFlight = arguments["in-flight"].as<int>();
    const std::vector<JobOutcome> outcomes
        = inFlight > 0 ? runClosedLoop(jobs, shape, entries, inFlight) : runOpenLoop(jobs, shape, entries);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count();

    json report = summarizeResponseTimes(outcomes, idealResponseTimes(jobs, slots));
    std::map<std::string, int> jobsByOutcome;
    int tasks = 0;
    for (const JobOutcome &outcome : outcomes) {
        ++jobsByOutcome[outcome.kind];
        tasks += outcome.kind == "complete" ? outcome.tasks : 0;
    }
    report["jobs"] = outcomes.size();
    report["outcomes"] = jobsByOutcome;
    report["tasks_done"] = tasks;
    report["tasks_per_s"] = tasks / seconds;
    report["seconds"] = seconds;
    report["jobs_per_s"] = shape.jobsPerSecond;
    report["done_by_second"] = tasksDoneBySecond(outcomes);
    report["daemons"] = json::array();
    uint64_t messages = 0;
    for (size_t index = 0; index < daemons.size(); ++index) {
        const DaemonUsage after = readUsage(daemons[index]);
        messages += after.messagesOut - before[index].messagesOut;
        report["daemons"].push_back(usageReport(daemons[index], before[index], after, seconds));
    }
    report["messages_per_task"] = tasks > 0 ? static_cast<double>(messages) / tasks : 0;
    if (const std::string path = arguments["out"].as<std::string>(); !path.empty()) {
        std::ofstream(path) << report.dump(2) << "\n";
    }
    std::cout << report.dump(2) << "\n";
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    LoadShape shape;
    const options::options_description description = describeOptions(shape);
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
        if (arguments.count("help") != 0 || arguments.count("entries") == 0) {
            std::cerr << description;
            return 2;
        }
        return runBench(arguments, shape);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    } catch (const Error &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
