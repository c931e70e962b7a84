#include "tests/support/history.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace marjoramferry::testing {

using nlohmann::json;

namespace {

struct TaskName
{
    std::string jobId;
    std::string taskId;

    auto operator<=>(const TaskName &) const = default;
};

class Checker
{
public:
    Checker(const History &history, const CheckBounds &bounds)
        : history_(history)
        , bounds_(bounds)
    {
        for (const SeenStart &start : history.starts) {
            startsOf_[TaskName{start.jobId, start.taskId}].push_back(&start);
        }
    }

    std::vector<std::string> run()
    {
        checkStartsOnce();
        checkClaims();
        checkStartsAllowed();
        checkLeavings();
        checkVersions();
        for (const Submission &submission : history_.submissions) {
            checkSubmission(submission);
        }
        return std::move(violations_);
    }

private:
    template<typename... Parts>
    void violate(const Parts &...parts)
    {
        violations_.push_back(absl::StrCat(parts...));
    }

    void checkStartsOnce()
    {
        for (const auto &[name, starts] : startsOf_) {
            if (starts.size() > 1) {
                violate("double start: ",
                        name.jobId,
                        "/",
                        name.taskId,
                        " on ",
                        starts[0]->endpoint,
                        " and ",
                        starts[1]->endpoint);
            }
        }
    }

    /** Without a claim a later owner could not tell the job from one that never started. */
    void checkClaims()
    {
        for (const SeenStart &start : history_.starts) {
            if (!start.claimed) {
                violate("start without a claim: ", start.jobId, "/", start.taskId);
            }
        }
    }

    /** A start must be allowed by a catalog that was current within the bound before it. */
    void checkStartsAllowed()
    {
        for (const SeenStart &start : history_.starts) {
            bool isAllowed = false;
            for (size_t index = 0; index < history_.catalogs.size(); ++index) {
                const SeenCatalog &seen = history_.catalogs[index];
                const bool wasReplaced = index + 1 < history_.catalogs.size()
                    && history_.catalogs[index + 1].at + bounds_.inForce < start.at;
                const bool isCurrent = seen.at <= start.at && !wasReplaced;
                isAllowed |= isCurrent && seen.catalog.isStartAllowed(start.service, start.endpoint, start.domain);
            }
            if (!isAllowed) {
                violate("start against the notes: ", start.jobId, "/", start.taskId, " in ", start.domain);
            }
        }
    }

    void checkLeavings()
    {
        for (const SeenLeaving &leaving : history_.leavings) {
            for (const SeenStart &start : history_.starts) {
                if (start.endpoint == leaving.endpoint && start.at > leaving.at + bounds_.leaving) {
                    violate("start at a leaving endpoint: ", start.jobId, "/", start.taskId, " at ", start.endpoint);
                }
            }
        }
    }

    void checkVersions()
    {
        std::map<std::string, int64_t> last;
        for (const SeenVersion &seen : history_.versions) {
            int64_t &known = last[seen.node];
            if (seen.version < known) {
                violate("version went back at ", seen.node, ": ", known, " to ", seen.version);
            }
            known = seen.version;
        }
    }

    void checkSubmission(const Submission &submission)
    {
        if (!submission.answeredAt) {
            const MonotonicTime due = submission.at + Milliseconds(submission.deadlineMs) + bounds_.answer;
            if (submission.entryLived && due < history_.endedAt) {
                violate("lost answer: ", submission.jobId, " at ", submission.entry);
            }
            return;
        }
        const json answer = json::parse(submission.answer);
        const json request = json::parse(submission.body);
        if (answer.value("job_id", "") != submission.jobId && !isConflict(answer)) {
            violate("crossed answer: ", submission.jobId, " got ", submission.answer);
            return;
        }
        const std::string status = answer.value("status", "");
        if (status == "complete") {
            checkComplete(submission, request, answer);
        } else if (!isConflict(answer)) {
            checkFailed(submission, answer);
            if (bounds_.everythingCompletes) {
                violate("job failed: ", submission.jobId, " ", submission.answer);
            }
        }
    }

    static bool isConflict(const json &answer)
    {
        return answer.contains("error") && answer["error"].value("kind", "") == "other_body";
    }

    void checkComplete(const Submission &submission, const json &request, const json &answer)
    {
        if (answer["tasks"].size() != request["tasks"].size()) {
            violate("partial answer: ", submission.jobId);
            return;
        }
        for (size_t index = 0; index < answer["tasks"].size(); ++index) {
            const json &asked = request["tasks"][index];
            const json &got = answer["tasks"][index];
            if (got["task_id"] != asked["task_id"] || got["output"] != asked["payload"]["echo"]) {
                violate("wrong output: ", submission.jobId, "/", asked["task_id"].dump(), " got ", got.dump());
            }
            if (!startedBy(TaskName{submission.jobId, asked["task_id"]}, *submission.answeredAt)) {
                violate("complete without a start: ", submission.jobId);
            }
        }
    }

    void checkFailed(const Submission &submission, const json &answer)
    {
        const json tasks = answer.value("tasks", json::array());
        const bool anyRan = std::ranges::any_of(tasks, [](const json &task) { return task["ran"] != "no"; });
        for (const json &task : tasks) {
            if (task.contains("output")) {
                violate("output in a failed answer: ", submission.jobId);
            }
            const TaskName name{submission.jobId, task["task_id"]};
            const bool started = startedBy(name, *submission.answeredAt);
            if (task["ran"] == "yes" && !started) {
                violate("untrue answer, \"yes\" without a start: ", name.jobId, "/", name.taskId);
            }
            if (task["ran"] == "no" && (started || startsLater(name, submission, anyRan))) {
                violate("untrue answer, \"no\" with a start: ", name.jobId, "/", name.taskId);
            }
        }
    }

    bool startedBy(const TaskName &name, MonotonicTime at) const
    {
        const auto found = startsOf_.find(name);
        return found != startsOf_.end()
            && std::ranges::any_of(found->second, [&](const SeenStart *start) { return start->at <= at; });
    }

    /**
     * Whether a task that was said not to have run starts after that. When nothing of the job ran,
     * another submission of it that was open then, or came later, may start it.
     */
    bool startsLater(const TaskName &name, const Submission &submission, bool anyRan) const
    {
        if (!startsOf_.contains(name)) {
            return false;
        }
        const bool mayRunAgain = std::ranges::any_of(history_.submissions, [&](const Submission &other) {
            const bool isOpen = !other.answeredAt || *other.answeredAt > *submission.answeredAt;
            return &other != &submission && other.jobId == submission.jobId && isOpen;
        });
        return anyRan || !mayRunAgain;
    }

    const History &history_;
    const CheckBounds &bounds_;
    std::map<TaskName, std::vector<const SeenStart *>> startsOf_;
    std::vector<std::string> violations_;
};

} // namespace

std::vector<std::string> findViolations(const History &history, const CheckBounds &bounds)
{
    return Checker(history, bounds).run();
}

} // namespace marjoramferry::testing
