#include "programs/command_line_tool.h"

#include "connection/http_client.h"
#include "core/error.h"
#include "owner/job_json.h"
#include "version/json_fields.h"
#include "version/release_note.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <boost/program_options.hpp>

#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace marjoramferry {

using nlohmann::json;
namespace options = boost::program_options;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int DefaultTimeoutMs = 620'000;

options::options_description describeOptions()
{
    options::options_description description(
        "marjoramferry [options] COMMAND\n"
        "  submit FILE             submit a job and wait for its result\n"
        "  job show|cancel ID      show a job, or cancel its tasks that have not started\n"
        "  note publish FILE       publish the next release note\n"
        "  note show               show the release note in force\n"
        "  domain out|in NAME      take a failure domain out of service, or return it\n"
        "  status                  show entries, agents and queues\n"
        "  explain KEY=VALUE ...   show where a job would be placed now, and why; --entry is the metrics listener of "
        "a\n"
        "                          work entry; keys: queue, tasks, cpu (thousandths of a core), memory (MB),\n"
        "                          estimate_ms, timeout_ms\n"
        "Options");
    description.add_options()(
        "entry", options::value<std::string>()->default_value("127.0.0.1:8080"), "host:port of an entry")(
        "timeout-ms", options::value<int>()->default_value(DefaultTimeoutMs), "how long to wait for a response")(
        "json", "print the response as JSON")("help", "show this text")(
        "words", options::value<std::vector<std::string>>(), "the command");
    return description;
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw Error(ErrorKind::Malformed, path, "can't be read", "pass the path of a JSON file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

HttpResult sendRequest(const ToolOptions &options, const std::string &method, const std::string &path, std::string body)
{
    HttpClient client(1);
    std::promise<HttpResult> promise;
    HttpCall request;
    request.method = method;
    request.url = "http://" + options.entry + path;
    request.body = std::move(body);
    request.timeout = Milliseconds(options.timeoutMs);
    client.call(std::move(request), [&](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

void printTable(const json &rows, std::ostream &out)
{
    if (!rows.is_array() || rows.empty()) {
        return;
    }
    constexpr int Width = 18;
    for (const auto &[name, value] : rows.front().items()) {
        out << std::left << std::setw(Width) << name;
    }
    out << "\n";
    for (const json &row : rows) {
        for (const auto &[name, value] : row.items()) {
            out << std::left << std::setw(Width) << (value.is_string() ? value.get<std::string>() : value.dump());
        }
        out << "\n";
    }
}

void printText(const json &body, std::ostream &out)
{
    if (!body.is_object()) {
        out << body.dump(2) << "\n";
        return;
    }
    for (const auto &[name, value] : body.items()) {
        const bool isTable = value.is_array() && !value.empty() && value.front().is_object();
        if (!isTable) {
            out << name << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
        }
    }
    for (const auto &[name, value] : body.items()) {
        if (value.is_array() && !value.empty() && value.front().is_object()) {
            out << "\n" << name << "\n";
            printTable(value, out);
        }
    }
}

bool hasNoTaskRun(const json &body)
{
    if (!body.is_object() || !body.contains("tasks") || !body["tasks"].is_array() || body["tasks"].empty()) {
        return false;
    }
    return std::ranges::all_of(body["tasks"], [](const json &task) { return task.value("ran", "") == "no"; });
}

ExitCode exitCodeFor(const HttpResult &result, const json &body)
{
    if (result.outcome != HttpOutcome::Answered) {
        return ExitCode::Unreachable;
    }
    const std::string status = body.is_object() ? body.value("status", "") : "";
    if (status == "failed") {
        return hasNoTaskRun(body) ? ExitCode::NotRun : ExitCode::Failed;
    }
    return result.status == StatusOk || result.status == StatusCreated ? ExitCode::Done : ExitCode::Failed;
}

int printResult(const ToolOptions &options, const HttpResult &result, std::ostream &out, std::ostream &errors)
{
    if (result.outcome != HttpOutcome::Answered) {
        errors << "no response from " << options.entry << ": " << result.errorMessage
               << "; try another entry with --entry\n";
        return static_cast<int>(ExitCode::Unreachable);
    }
    const json body = json::parse(result.body, nullptr, false);
    if (options.asJson) {
        out << result.body << "\n";
    } else {
        printText(body, out);
    }
    return static_cast<int>(exitCodeFor(result, body));
}

/** Encodes a value of a URL's query. */
std::string encodeQueryValue(const std::string &value)
{
    std::string encoded;
    for (const char each : value) {
        if (absl::ascii_isalnum(static_cast<unsigned char>(each)) || each == '-' || each == '_' || each == '.') {
            encoded += each;
        } else {
            absl::StrAppend(&encoded, "%", absl::Hex(static_cast<unsigned char>(each), absl::kZeroPad2));
        }
    }
    return encoded;
}

/** The path of an explain request for arguments of the form KEY=VALUE. */
std::string buildExplainPath(const std::vector<std::string> &command)
{
    std::string path = "/v1/explain";
    for (size_t i = 1; i < command.size(); ++i) {
        const size_t separator = command[i].find('=');
        if (separator == std::string::npos) {
            throw UsageError("explain takes KEY=VALUE, not " + command[i] + "; see marjoramferry --help");
        }
        absl::StrAppend(&path,
                        i == 1 ? "?" : "&",
                        encodeQueryValue(command[i].substr(0, separator)),
                        "=",
                        encodeQueryValue(command[i].substr(separator + 1)));
    }
    return path;
}

/** The HTTP request of a command. */
struct CommandRequest
{
    std::string method;
    std::string path;
    std::string body;
};

CommandRequest buildRequest(const std::vector<std::string> &command)
{
    const auto argument = [&](size_t index) { return index < command.size() ? command[index] : std::string(); };
    const std::string name = argument(0) + " " + argument(1);
    if (argument(0) == "submit" && command.size() == 2) {
        std::string body = readFile(command[1]);
        parseJob(body, JobLimits());
        return {"POST", "/v1/jobs", std::move(body)};
    }
    if (argument(0) == "status" && command.size() == 1) {
        return {"GET", "/v1/status", ""};
    }
    if (argument(0) == "explain") {
        return {"GET", buildExplainPath(command), ""};
    }
    if (name == "note show" && command.size() == 2) {
        return {"GET", "/v1/notes/current", ""};
    }
    if (command.size() != 3) {
        throw UsageError("unknown command; see marjoramferry --help");
    }
    if (name == "note publish") {
        std::string body = readFile(command[2]);
        ReleaseNote::fromJson(body);
        return {"POST", "/v1/notes", std::move(body)};
    }
    if (name == "job show") {
        return {"GET", "/v1/jobs/" + command[2], ""};
    }
    if (name == "job cancel") {
        return {"DELETE", "/v1/jobs/" + command[2], ""};
    }
    if (name == "domain out" || name == "domain in") {
        return {"POST", "/v1/domains/" + command[2] + "/" + command[1], ""};
    }
    throw UsageError("unknown command; see marjoramferry --help");
}

} // namespace

ToolOptions parseToolOptions(int argc, char **argv)
{
    try {
        options::positional_options_description positions;
        positions.add("words", -1);
        options::variables_map arguments;
        options::store(options::command_line_parser(argc, argv).options(describeOptions()).positional(positions).run(),
                       arguments);
        ToolOptions result;
        result.entry = arguments["entry"].as<std::string>();
        result.asJson = arguments.count("json") != 0;
        result.timeoutMs = arguments["timeout-ms"].as<int>();
        result.wantsHelp = arguments.count("help") != 0;
        if (arguments.count("words") != 0) {
            result.command = arguments["words"].as<std::vector<std::string>>();
        }
        return result;
    } catch (const options::error &error) {
        throw UsageError(std::string(error.what()) + "; see marjoramferry --help");
    }
}

int runCommand(const ToolOptions &options, std::ostream &out, std::ostream &errors)
{
    if (options.wantsHelp) {
        out << describeOptions();
        return static_cast<int>(ExitCode::Done);
    }
    CommandRequest request = buildRequest(options.command);
    return printResult(
        options, sendRequest(options, request.method, request.path, std::move(request.body)), out, errors);
}

} // namespace marjoramferry
