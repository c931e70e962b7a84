#include "owner/job_router.h"

#include "core/shard.h"
#include "owner/admission.h"
#include "owner/job_json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

namespace {

constexpr int TimeoutRetryAfterMs = 1000;
constexpr int StatusNotFound = 404;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

const char *outcomeName(const wire::JobAnswer &answer)
{
    return answer.kind == wire::AnswerKind::COMPLETE ? "complete" : "failed";
}

} // namespace

JobRouter::JobRouter(RouterTiming timing)
    : timing_(timing)
{
}

void JobRouter::submit(uint64_t httpToken, wire::Job job, MonotonicTime now)
{
    Request request;
    request.httpToken = httpToken;
    request.shard = shardOf(job.jobId);
    request.submittedAt = now;
    request.deadline = now + Milliseconds(job.deadlineMs);
    request.job = std::move(job);
    add(std::move(request));
}

void JobRouter::lookup(uint64_t httpToken, std::string jobId, bool cancel, MonotonicTime now)
{
    Request request;
    request.httpToken = httpToken;
    request.isLookup = true;
    request.cancel = cancel;
    request.shard = shardOf(jobId);
    request.submittedAt = now;
    request.deadline = now + timing_.lookupTimeout;
    request.job.jobId = std::move(jobId);
    add(std::move(request));
}

int64_t JobRouter::add(Request request)
{
    requests_.emplace(++lastId_, std::move(request));
    unsent_.push_back(lastId_);
    return lastId_;
}

void JobRouter::onReply(const std::string &from, const wire::OwnerReply &reply, MonotonicTime now, EntryOutbox &out)
{
    const auto found = requests_.find(reply.requestId);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    const wire::AnswerKind::type kind = reply.answer.kind;
    if (kind != wire::AnswerKind::NOT_TAKEN && kind != wire::AnswerKind::MOVED) {
        answer(found->first, reply.answer, now, out);
        return;
    }
    if (request.sentToAddress != from) {
        return;
    }
    request.sentToIncarnation.clear();
    request.nextSendAt = now + timing_.resendDelay;
}

void JobRouter::onPeerClosed(const std::string &address, MonotonicTime now)
{
    for (Request &request : requests_ | std::views::values) {
        if (!request.sentToIncarnation.empty() && request.sentToAddress == address) {
            request.sentToIncarnation.clear();
            request.nextSendAt = now + timing_.resendDelay;
        }
    }
}

std::optional<LocalRequest> JobRouter::send(int64_t id,
                                            Request &request,
                                            const OwnershipMap &ownership,
                                            const std::string &self,
                                            MonotonicTime now,
                                            EntryOutbox &out) const
{
    const std::string &owner = ownership.shard(request.shard).owner;
    const auto address = ownership.owners().find(owner);
    if (address == ownership.owners().end() || request.sentToIncarnation == owner || now < request.nextSendAt) {
        return std::nullopt;
    }
    request.sentToIncarnation = owner;
    request.sentToAddress = owner == self ? std::string() : address->second.address;
    Message message = makeMessage(id, request, now);
    if (owner == self) {
        return LocalRequest{std::move(message)};
    }
    out.add(SendToPeer{request.sentToAddress, std::move(message)});
    return std::nullopt;
}

std::vector<LocalRequest>
JobRouter::sendNew(const OwnershipMap &ownership, const std::string &self, MonotonicTime now, EntryOutbox &out)
{
    std::vector<LocalRequest> local;
    for (const int64_t id : std::exchange(unsent_, {})) {
        if (auto message = send(id, requests_.at(id), ownership, self, now, out)) {
            local.push_back(std::move(*message));
        }
    }
    return local;
}

std::vector<LocalRequest>
JobRouter::advance(const OwnershipMap &ownership, const std::string &self, MonotonicTime now, EntryOutbox &out)
{
    unsent_.clear();
    std::vector<LocalRequest> local;
    std::vector<int64_t> timedOut;
    for (auto &[id, request] : requests_) {
        if (now >= request.deadline + timing_.replyGrace) {
            timedOut.push_back(id);
        } else if (auto message = send(id, request, ownership, self, now, out)) {
            local.push_back(std::move(*message));
        }
    }
    for (const int64_t id : timedOut) {
        answer(id, makeTimeoutAnswer(requests_.at(id)), now, out);
    }
    return local;
}

Message JobRouter::makeMessage(int64_t id, const Request &request, MonotonicTime now) const
{
    if (request.isLookup) {
        wire::LookupJob message;
        message.requestId = id;
        message.jobId = request.job.jobId;
        message.cancel = request.cancel;
        return message;
    }
    wire::SubmitJob message;
    message.requestId = id;
    message.job = request.job;
    message.remainingMs = millisecondsBetween(now, request.deadline);
    return message;
}

wire::JobAnswer JobRouter::makeTimeoutAnswer(const Request &request) const
{
    wire::JobAnswer answer;
    answer.jobId = request.job.jobId;
    answer.retryAfterMs = TimeoutRetryAfterMs;
    answer.httpStatus = StatusUnavailable;
    answer.errorKind = "owner_unreachable";
    answer.errorMessage = "no owner of the job answered in time; submit the same job_id and body again";
    // Another entry may have sent the same job to its owner, so even an unsent request is not "not run".
    answer.tasks = makeUniformResults(request.job, wire::Ran::UNKNOWN);
    return answer;
}

void JobRouter::answer(int64_t id, const wire::JobAnswer &answer, MonotonicTime now, EntryOutbox &out)
{
    const auto found = requests_.find(id);
    const Request request = std::move(found->second);
    requests_.erase(found);
    const int status = answer.kind == wire::AnswerKind::UNKNOWN_JOB ? StatusNotFound : answer.httpStatus;
    const int retryAfterMs = status == StatusOk ? 0 : answer.retryAfterMs;
    out.add(HttpResponse{request.httpToken, status, renderAnswer(answer), retryAfterMs});
    if (request.isLookup) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - request.submittedAt).count();
    out.add(Observation{"job_seconds", request.job.tenant, outcomeName(answer), seconds});
    out.log(LogEvent::Level::Info,
            "job_answered",
            {{"job", request.job.jobId},
             {"tenant", request.job.tenant},
             {"outcome", outcomeName(answer)},
             {"error", answer.errorKind},
             {"status", absl::StrCat(status)},
             {"ms", absl::StrCat(millisecondsBetween(request.submittedAt, now))}});
}

} // namespace marjoramferry
