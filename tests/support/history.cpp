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

class HistoryChecker
{
public:
    HistoryChecker(const History &history, const CheckBounds &bounds)
        : history_(history)
        , bounds_(bounds)
    {
        for (const ObservedStart &start : history.starts) {
            startsByTask_[TaskName{start.jobId, start.taskId}].push_back(&start);
        }
    }

    std::vector<std::string> run()
    {
        checkSingleStarts();
        checkClaims();
        checkStartsAllowed();
        checkDepartures();
        checkVersions();
        for (const Submission &submission : history_.submissions) {
            checkSubmission(submission);
        }
        return std::move(violations_);
    }

private:
    template<typename... Parts>
    void reportViolation(const Parts &...parts)
    {
        violations_.push_back(absl::StrCat(parts...));
    }

    void checkSingleStarts()
    {
        for (const auto &[name, starts] : startsByTask_) {
            if (starts.size() > 1) {
                reportViolation("double start: ",
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

    /** Without a claim, a later owner could not distinguish the job from one that never started. */
    void checkClaims()
    {
        for (const ObservedStart &start : history_.starts) {
            if (!start.isClaimed) {
                reportViolation("start without a claim: ", start.jobId, "/", start.taskId);
            }
        }
    }

    /** A start must be allowed by a catalog that was current at some time within catalogPropagation before it. */
    void checkStartsAllowed()
    {
        for (const ObservedStart &start : history_.starts) {
            bool isAllowed = false;
            for (size_t index = 0; index < history_.catalogs.size(); ++index) {
                const ObservedCatalog &observed = history_.catalogs[index];
                const bool wasReplaced = index + 1 < history_.catalogs.size()
                    && history_.catalogs[index + 1].at + bounds_.catalogPropagation < start.at;
                const bool isCurrent = observed.at <= start.at && !wasReplaced;
                isAllowed |= isCurrent && observed.catalog.isStartAllowed(start.service, start.endpoint, start.domain);
            }
            if (!isAllowed) {
                reportViolation(
                    "start violates the release notes: ", start.jobId, "/", start.taskId, " in ", start.domain);
            }
        }
    }

    void checkDepartures()
    {
        for (const ObservedDeparture &departure : history_.departures) {
            for (const ObservedStart &start : history_.starts) {
                if (start.endpoint == departure.endpoint && start.at > departure.at + bounds_.departurePropagation) {
                    reportViolation(
                        "start at a leaving endpoint: ", start.jobId, "/", start.taskId, " at ", start.endpoint);
                }
            }
        }
    }

    void checkVersions()
    {
        std::map<std::string, int64_t> lastVersions;
        for (const ObservedVersion &observed : history_.versions) {
            int64_t &lastVersion = lastVersions[observed.node];
            if (observed.version < lastVersion) {
                reportViolation("version decreased at ", observed.node, ": ", lastVersion, " to ", observed.version);
            }
            lastVersion = observed.version;
        }
    }

    void checkSubmission(const Submission &submission)
    {
        if (!submission.answeredAt) {
            const MonotonicTime due = submission.at + Milliseconds(submission.deadlineMs) + bounds_.responseDelay;
            if (submission.entrySurvived && due < history_.endedAt) {
                reportViolation("lost answer: ", submission.jobId, " at ", submission.entry);
            }
            return;
        }
        const json answer = json::parse(submission.answer);
        const json request = json::parse(submission.body);
        if (answer.value("job_id", "") != submission.jobId && !isConflict(answer)) {
            reportViolation("answer to another job: ", submission.jobId, " got ", submission.answer);
            return;
        }
        const std::string status = answer.value("status", "");
        if (status == "complete") {
            checkComplete(submission, request, answer);
        } else if (!isConflict(answer)) {
            checkFailed(submission, answer);
            if (bounds_.allJobsComplete) {
                reportViolation("job failed: ", submission.jobId, " ", submission.answer);
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
            reportViolation("partial answer: ", submission.jobId);
            return;
        }
        for (size_t index = 0; index < answer["tasks"].size(); ++index) {
            const json &requested = request["tasks"][index];
            const json &actual = answer["tasks"][index];
            if (actual["task_id"] != requested["task_id"] || actual["output"] != requested["payload"]["echo"]) {
                reportViolation(
                    "wrong output: ", submission.jobId, "/", requested["task_id"].dump(), " got ", actual.dump());
            }
            if (!hasStartedBy(TaskName{submission.jobId, requested["task_id"]}, *submission.answeredAt)) {
                reportViolation("complete without a start: ", submission.jobId);
            }
        }
    }

    void checkFailed(const Submission &submission, const json &answer)
    {
        const json tasks = answer.value("tasks", json::array());
        const bool anyRan = std::ranges::any_of(tasks, [](const json &task) { return task["ran"] != "no"; });
        for (const json &task : tasks) {
            if (task.contains("output")) {
                reportViolation("output in a failed answer: ", submission.jobId);
            }
            const TaskName name{submission.jobId, task["task_id"]};
            const bool started = hasStartedBy(name, *submission.answeredAt);
            if (task["ran"] == "yes" && !started) {
                reportViolation("false answer, \"yes\" without a start: ", name.jobId, "/", name.taskId);
            }
            if (task["ran"] == "no" && (started || startsLaterIllegally(name, submission, anyRan))) {
                reportViolation("false answer, \"no\" with a start: ", name.jobId, "/", name.taskId);
            }
        }
    }

    bool hasStartedBy(const TaskName &name, MonotonicTime at) const
    {
        const auto found = startsByTask_.find(name);
        return found != startsByTask_.end()
            && std::ranges::any_of(found->second, [&](const ObservedStart *start) { return start->at <= at; });
    }

    /**
     * Whether a task that was reported as not run starts after that response without permission. If no
     * task of the job ran, another submission of the job that was still open, or was made later, may start it.
     */
    bool startsLaterIllegally(const TaskName &name, const Submission &submission, bool anyRan) const
    {
        if (!startsByTask_.contains(name)) {
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
    std::map<TaskName, std::vector<const ObservedStart *>> startsByTask_;
    std::vector<std::string> violations_;
};

} // namespace

std::vector<std::string> findViolations(const History &history, const CheckBounds &bounds)
{
    return HistoryChecker(history, bounds).run();
}

} // namespace marjoramferry::testing
