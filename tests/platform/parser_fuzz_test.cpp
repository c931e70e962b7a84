#include "core/error.h"
#include "owner/job_json.h"
#include "platform/job_api.h"
#include "platform/operator_rows.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "platform/worker_notification.h"
#include "version/release_note.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <random>

using namespace marjoramferry;
using namespace marjoramferry::platform;

namespace {

constexpr int Rounds = 3000;
/** The longest time that an entry lets a caller wait; longer ones would overflow the clock's type. */
constexpr Milliseconds MaxTimeout = std::chrono::hours(1);

const std::string JobBody = R"({"spec":"s","best-effort":true,"phases":[
    {"count":4,"cpu":500,"mem-mb":256,"gpu":1,"estimate-ms":900,"affinity":"r1","constraints":"a","anti-affinity":2},
    {"count":2,"cpu":2000,"mem-mb":10,"estimate-ms":7000,"after":[0],"gang":false}]})";
const std::string Announcement = R"({"service":"s","addr":"10.0.0.1:80","zone":"n","version":"v1","slots":8,
    "state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],
    "clock-ms":482113,"seq":4,"born":1234})";
const std::string Listing = R"({"clock-ms":482113,"born":7,"running":[["5c0e.0.1.17",2,"0bb8",41]],
    "finished":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",1,"failed",""]]})";
const std::string Rows = R"({"ver":9,"has-more":true,"now-ms":12,"rows":[
    {"table":"op","key":"config","value":"aGk=","ver":4},{"table":"op","key":"k","deleted":true,"ver":5}]})";
const std::string Configuration = R"({"version":7,"limits":{"body":3},"routes":[{"name":"r","host":"h",
    "path-prefix":"/p/","service":"s","priority":2,"max-attempts":3,"stretch":1.6,"target-latency-ms":60}]})";
const std::string StandingJob = R"({"job_id":"j","tenant":"t","service":"s","deadline_ms":900,
    "tasks":[{"task_id":"a","payload":"p","needs":{"cpus":1,"memory_mb":2}}]})";
const std::string Note = R"({"base_version":1,"add":{"services":["s"],"domains":{"d":"in"},
    "tenants":{"t":{"weight":1,"max_running":4}}},"withdraw":{"services":["x"]}})";

/** Replaces, removes or duplicates values in JSON, and changes bytes of texts, from a seed. */
class Mutator
{
public:
    explicit Mutator(uint64_t seed)
        : random_(seed)
    {
    }

    std::string mutate(const std::string &text)
    {
        nlohmann::json value = nlohmann::json::parse(text);
        for (int changes = draw(3); changes >= 0; --changes) {
            mutateAnyNode(value);
        }
        std::string result = value.dump();
        return draw(3) == 0 ? mutateBytes(std::move(result)) : result;
    }

    std::string mutateBytes(std::string text)
    {
        text.resize(static_cast<size_t>(draw(static_cast<int>(text.size()))) + 1);
        text[static_cast<size_t>(draw(static_cast<int>(text.size())))] = static_cast<char>(random_());
        return text;
    }

    int draw(int bound)
    {
        return static_cast<int>(random_() % static_cast<uint64_t>(bound));
    }

    nlohmann::json unusualValue()
    {
        static const std::vector<nlohmann::json> values
            = {nullptr,
               true,
               -1,
               0,
               std::numeric_limits<int64_t>::max(),
               std::numeric_limits<int64_t>::min(),
               std::numeric_limits<uint64_t>::max(),
               1e308,
               0.5,
               "",
               std::string(10'000, 'x'),
               "9223372036854775807",
               std::string("a\0\"\n", 4),
               nlohmann::json::array(),
               nlohmann::json::object(),
               nlohmann::json::array({nlohmann::json::array({nlohmann::json::object()}), 7})};
        return values[static_cast<size_t>(draw(static_cast<int>(values.size())))];
    }

private:
    void mutateAnyNode(nlohmann::json &node)
    {
        if ((!node.is_structured() || node.empty()) || draw(5) == 0) {
            node = unusualValue();
            return;
        }
        auto child = node.begin();
        std::advance(child, draw(static_cast<int>(node.size())));
        if (draw(8) == 0) {
            node.erase(child);
            return;
        }
        mutateAnyNode(*child);
    }

    std::mt19937_64 random_;
};

/** Parses mutated texts; only an Error may leave the parser. */
void fuzz(const std::string &valid, const std::function<void(const std::string &)> &parse)
{
    Mutator mutator(20261204);
    for (int round = 0; round < Rounds; ++round) {
        const std::string text = mutator.mutate(valid);
        INFO(text);
        try {
            parse(text);
        } catch (const Error &) {
            continue;
        }
    }
}

} // namespace

TEST_CASE("Malformed submissions of jobs: a call within its bounds or an error response")
{
    Mutator mutator(7);
    fuzz(JobBody, [&](const std::string &body) {
        HttpRequest request{1, "POST", "/q/1", body, {}, {}};
        const std::vector<std::string> timeouts
            = {"", "-1", "1500", "9223372036854775807", "1e9", "x", "99999999999999999999"};
        request.headers["deadline-ms"] = timeouts[static_cast<size_t>(mutator.draw(static_cast<int>(timeouts.size())))];
        const JobCall call = parseJobCall(request);
        if (const auto *submission = std::get_if<SubmitWork>(&call)) {
            CHECK(submission->timeout >= Milliseconds(0));
            CHECK(submission->timeout <= MaxTimeout);
            for (const WorkStep &step : submission->job.steps) {
                CHECK(step.count >= 1);
                CHECK(step.demand.cpuMillis >= 0);
                CHECK(step.estimate <= MaxTimeout);
            }
        }
    });
}

TEST_CASE("Malformed announcements of workers: a capacity of at least zero or an error response")
{
    fuzz(Announcement, [](const std::string &body) {
        const WorkerNotification parsed
            = parseWorkerNotification(HttpRequest{1, "PUT", "/api/instances/i", body, {}, {}});
        if (const auto *announcement = std::get_if<WorkerAnnouncement>(&parsed)) {
            CHECK(announcement->capacity.cpuMillis >= 0);
            CHECK(announcement->capacity.memoryMb >= 0);
        }
    });
}

TEST_CASE("Malformed replies of workers: rows that can't be parsed are skipped")
{
    fuzz(Listing, [](const std::string &body) {
        parseWorkerReply(1, HttpResult{HttpOutcome::Answered, 200, body, ""});
        parseWorkerReply(1, HttpResult{HttpOutcome::Answered, 409, body, ""});
    });
}

TEST_CASE("Malformed answers of the store: rows that can't be parsed are skipped")
{
    fuzz(Rows, [](const std::string &body) { parseStoreAnswer(HttpResult{HttpOutcome::Answered, 200, body, ""}); });
}

TEST_CASE("Malformed configurations: routes that can't be parsed are skipped, and limits are in range")
{
    fuzz(Configuration, [](const std::string &text) {
        const auto state = parseConfiguration(text);
        for (const wire::Route &route : state ? state->routes : std::vector<wire::Route>()) {
            CHECK(route.stretch >= 0);
            CHECK(route.stretch <= 1000);
            CHECK(route.targetLatencyMs >= 0);
            CHECK(route.maxAttempts >= 1);
        }
    });
}

// Guards against processes that one deeply nested value ends: the JSON library copies and writes values by recursion.
TEST_CASE("A value nested in 500,000 levels, in any field, gets an error or is skipped")
{
    constexpr size_t Levels = 500'000;
    const std::string deep = std::string(Levels, '[') + std::string(Levels, ']');
    for (const std::string &valid : {JobBody, Announcement, Listing, Rows, Configuration, StandingJob, Note}) {
        const nlohmann::json parsed = nlohmann::json::parse(valid);
        for (const auto &[field, value] : parsed.items()) {
            nlohmann::json marked = parsed;
            marked[field] = "deep";
            const std::string text = marked.dump();
            const size_t place = text.find("\"deep\"");
            const std::string body = text.substr(0, place) + deep + text.substr(place + 6);
            const HttpResult answered{HttpOutcome::Answered, 200, body, ""};
            CHECK(std::holds_alternative<HttpResponse>(parseJobCall(HttpRequest{1, "POST", "/q/id", body, {}, {}})));
            CHECK(std::holds_alternative<HttpResponse>(
                parseWorkerNotification(HttpRequest{1, "PUT", "/api/instances/i", body, {}, {}})));
            CHECK_FALSE(parseWorkerReply(1, answered).listing);
            CHECK(parseStoreAnswer(answered).outcome == StoreOutcome::Malformed);
            CHECK_FALSE(parseConfiguration(body));
            CHECK_THROWS_AS(parseJob(body, JobLimits{}), Error);
            CHECK_THROWS_AS(ReleaseNote::fromJson(body), Error);
        }
    }
}

TEST_CASE("Malformed jobs and release notes of the standing interface: a typed error")
{
    fuzz(StandingJob, [](const std::string &body) { parseJob(body, JobLimits{}); });
    fuzz(Note, [](const std::string &text) { ReleaseNote::fromJson(text); });
}
