#include "request/worker_supervisor.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr int64_t FirstFence = 1000;
const MonotonicTime Start{std::chrono::hours(1)};

WorkerAnnouncement announcement(int64_t sequence, int64_t bornMs = 7)
{
    WorkerAnnouncement word;
    word.identity = {"worker-1", bornMs};
    word.service = "orders";
    word.address = "10.0.0.1:80";
    word.domain = "north";
    word.capacity = {16'000, 1024, 0};
    word.clockMs = 100;
    word.sequence = sequence;
    return word;
}

RunRequest runRequest(const std::string &job, int64_t number, int cpuMillis = 6000)
{
    RunRequest request;
    request.tag = {"entry-1", 1, number};
    request.key = {job, 0, 0, 1};
    request.demand = {cpuMillis, 64, 0};
    request.rank = number;
    request.startBy = Start + Milliseconds(250);
    return request;
}

/** Splits what a keeper wants done by kind. */
struct Calls
{
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    std::vector<PollRuns> holds;
    std::vector<EndedRun> ends;

    explicit Calls(WorkerKeeper::Output output)
        : ends(std::move(output.ends))
    {
        for (const WorkerCall &call : output.calls) {
            if (const auto *start = std::get_if<StartRun>(&call)) {
                starts.push_back(*start);
            } else if (const auto *stop = std::get_if<StopRun>(&call)) {
                stops.push_back(*stop);
            } else if (const auto *hold = std::get_if<PollRuns>(&call)) {
                holds.push_back(*hold);
            }
        }
    }
};

WorkerReply accepted(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    reply.outcome = CallOutcome::Accepted;
    reply.clockMs = 200;
    return reply;
}

WorkerReply listed(int64_t callId, std::vector<RunKey> running, std::vector<ListedEnd> ended = {}, int64_t bornMs = 7)
{
    WorkerReply reply = accepted(callId);
    reply.listing = RunListing{bornMs, std::move(running), std::move(ended)};
    return reply;
}

WorkerReply unanswered(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    return reply;
}

WorkerReply rejected(int64_t callId, Rejection reason)
{
    WorkerReply reply;
    reply.callId = callId;
    reply.outcome = CallOutcome::Rejected;
    reply.rejection = reason;
    return reply;
}

/** A keeper whose worker has announced itself and taken the first fence. */
struct Settled
{
    WorkerKeeper keeper{WorkerTiming{}, FirstFence};

    Settled()
    {
        keeper.announce(announcement(1), Start);
        const Calls calls(keeper.take());
        keeper.reply(listed(calls.holds.at(0).callId, {}), Start);
        keeper.take();
    }

    /** Has a run started and confirmed; returns a hold that was sent after that. */
    PollRuns run(const RunRequest &request, MonotonicTime now)
    {
        keeper.request(request, now);
        const Calls calls(keeper.take());
        REQUIRE(calls.starts.size() == 1);
        keeper.reply(accepted(calls.starts[0].callId), now);
        const Calls confirmed(keeper.take());
        const PollRuns first = calls.holds.empty() ? confirmed.holds.at(0) : calls.holds.at(0);
        keeper.reply(listed(first.callId, {request.key}), now + Milliseconds(1));
        return Calls(keeper.take()).holds.at(0);
    }
};

} // namespace

TEST_CASE("A keeper starts nothing before the worker has taken its fence and runs nothing unknown")
{
    WorkerKeeper keeper(WorkerTiming{}, FirstFence);
    keeper.announce(announcement(1), Start);
    const Calls first(keeper.take());
    REQUIRE(first.holds.size() == 1);
    CHECK(first.holds[0].fence == FirstFence);
    keeper.request(runRequest("a", 1), Start);
    CHECK(Calls(keeper.take()).starts.empty());

    const RunKey stranger{"old", 0, 0, 1};
    keeper.reply(listed(first.holds[0].callId, {stranger}), Start);
    const Calls second(keeper.take());
    REQUIRE(second.stops.size() == 1);
    CHECK(second.stops[0].key == stranger);
    CHECK(second.starts.empty());
    CHECK_FALSE(keeper.isCleared());

    keeper.tick(Start + Milliseconds(110));
    const Calls third(keeper.take());
    REQUIRE(third.holds.size() == 1);
    keeper.reply(listed(third.holds[0].callId, {}, {{1, stranger, EndKind::Stopped}}), Start + Milliseconds(111));
    CHECK(Calls(keeper.take()).starts.size() == 1);
    CHECK(keeper.isCleared());
}

TEST_CASE("Room counts what starts, runs and stops, and a run waits by rank until there is some")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    const PollRuns watch = settled.run(runRequest("a", 1, 9000), Start);
    keeper.request(runRequest("c", 3, 9000), Start);
    keeper.request(runRequest("b", 2, 9000), Start);
    CHECK(Calls(keeper.take()).starts.empty());
    keeper.withdraw({"entry-1", 1, 1}, Start + Milliseconds(5));
    const Calls stopping(keeper.take());
    CHECK(stopping.stops.size() == 1);
    CHECK(stopping.starts.empty());

    keeper.tick(Start + Milliseconds(10));
    keeper.reply(listed(watch.callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Stopped}}), Start + Milliseconds(20));
    const Calls after(keeper.take());
    REQUIRE(after.starts.size() == 1);
    CHECK(after.starts[0].key.jobId == "b");
    REQUIRE(after.ends.size() == 1);
    CHECK(after.ends[0].outcome == wire::RunOutcome::GONE);
}

TEST_CASE("A start without an answer is settled by a higher fence before its room is free")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    keeper.request(runRequest("a", 1, 12'000), Start);
    const Calls first(keeper.take());
    REQUIRE(first.starts.size() == 1);
    keeper.reply(unanswered(first.starts[0].callId), Start + Milliseconds(50));
    const Calls again(keeper.take());
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts[0].key == first.starts[0].key);
    keeper.reply(unanswered(again.starts[0].callId), Start + Milliseconds(100));
    keeper.request(runRequest("b", 2, 12'000), Start + Milliseconds(150));
    const Calls second(keeper.take());
    CHECK(second.starts.empty());
    CHECK(second.ends.empty());
    const auto fenced = std::ranges::find_if(second.holds, [](const auto &hold) { return hold.fence > FirstFence; });
    REQUIRE(fenced != second.holds.end());

    SECTION("the worker does not list it: it never ran")
    {
        keeper.reply(listed(fenced->callId, {}), Start + Milliseconds(160));
        const Calls third(keeper.take());
        REQUIRE(third.ends.size() == 1);
        CHECK(third.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
        REQUIRE(third.starts.size() == 1);
        CHECK(third.starts[0].fence > FirstFence);
    }
    SECTION("the worker lists it: it runs")
    {
        keeper.reply(listed(fenced->callId, {first.starts[0].key}), Start + Milliseconds(160));
        const Calls third(keeper.take());
        CHECK(third.ends.empty());
        CHECK(third.starts.empty());
    }
    SECTION("the fenced hold is not answered either: the room stays taken")
    {
        keeper.reply(unanswered(fenced->callId), Start + Milliseconds(300));
        keeper.tick(Start + Milliseconds(400));
        CHECK(Calls(keeper.take()).starts.empty());
        CHECK(keeper.room().unclaimed.cpuMillis < 12'000);
    }
}

TEST_CASE("Lost answers: a start is sent again as it was, and tells that it ran if the first one did")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    keeper.request(runRequest("a", 1), Start);
    const Calls first(keeper.take());
    keeper.reply(unanswered(first.starts.at(0).callId), Start + Milliseconds(50));
    const Calls again(keeper.take());
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts[0].key == first.starts[0].key);
    CHECK(again.starts[0].fence == first.starts[0].fence);
    CHECK(again.ends.empty());

    SECTION("it runs")
    {
        keeper.reply(accepted(again.starts[0].callId), Start + Milliseconds(51));
        CHECK(Calls(keeper.take()).ends.empty());
    }
    SECTION("it has ended: the listing tells how")
    {
        keeper.reply(rejected(again.starts[0].callId, Rejection::OldAttempt), Start + Milliseconds(51));
        const Calls third(keeper.take());
        CHECK(third.starts.empty());
        const int64_t hold = first.holds.empty() ? third.holds.at(0).callId : first.holds.at(0).callId;
        keeper.reply(listed(hold, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}), Start + Milliseconds(52));
        const Calls fourth(keeper.take());
        REQUIRE(fourth.ends.size() == 1);
        CHECK(fourth.ends[0].outcome == wire::RunOutcome::DONE);
    }
}

TEST_CASE("Lost answers: a hold that tells nothing is backed by another, and the worker stays in use")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    const PollRuns hold = settled.run(runRequest("a", 1), Start);
    keeper.tick(Start + Milliseconds(60));
    const Calls second(keeper.take());
    REQUIRE(second.holds.size() == 1);
    keeper.reply(listed(second.holds[0].callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}), Start + Milliseconds(70));
    REQUIRE(Calls(keeper.take()).ends.size() == 1);
    keeper.reply(unanswered(hold.callId), Start + Milliseconds(350));
    CHECK(keeper.room().takesRuns);
}

TEST_CASE("Ends are told once, and acknowledged to the worker also when nothing runs any more")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    const PollRuns hold = settled.run(runRequest("a", 1), Start);
    keeper.reply(listed(hold.callId, {}, {{1, {"a", 0, 0, 1}, EndKind::Done}}), Start + Milliseconds(60));
    const Calls after(keeper.take());
    REQUIRE(after.ends.size() == 1);
    CHECK(after.ends[0].outcome == wire::RunOutcome::DONE);
    CHECK(after.ends[0].ranMs == 60);
    REQUIRE(after.holds.size() == 1);
    CHECK(after.holds[0].acknowledgedEnd == 1);
    keeper.reply(listed(after.holds[0].callId, {}, {}), Start + Milliseconds(61));
    const Calls rest(keeper.take());
    CHECK(rest.ends.empty());
    CHECK(rest.holds.empty());
}

TEST_CASE("Lost answers: what becomes of the second try of a start tells nothing of the first")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    keeper.request(runRequest("job", 1), Start);
    const Calls first(keeper.take());
    keeper.reply(unanswered(first.starts.at(0).callId), Start + Milliseconds(20));
    const Calls again(keeper.take());
    REQUIRE(again.starts.size() == 1);
    // The first may be at work, so the second must be sent even when its time is over.
    CHECK(again.starts[0].notAfter > Start + std::chrono::hours(1));
    WorkerReply second
        = rejected(again.starts[0].callId, GENERATE(Rejection::NoRoom, Rejection::LeaseExpired, Rejection::Unhealthy));
    if (GENERATE(true, false)) {
        second.outcome = CallOutcome::NotSent;
    }
    keeper.reply(second, Start + Milliseconds(21));
    const Calls after(keeper.take());
    CHECK(after.ends.empty());
    REQUIRE_FALSE(after.holds.empty());
    CHECK(after.holds.back().fence > first.starts[0].fence);
    // Once the worker has taken the fence, its listing tells.
    keeper.reply(listed(after.holds.back().callId, {first.starts[0].key}), Start + Milliseconds(22));
    CHECK(Calls(keeper.take()).ends.empty());
}

TEST_CASE("A worker that started again under its name has lost all it ran")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    const PollRuns hold = settled.run(runRequest("a", 1), Start);
    keeper.reply(listed(hold.callId, {}, {}, 8), Start + Milliseconds(60));
    const Calls after(keeper.take());
    REQUIRE(after.ends.size() == 1);
    CHECK(after.ends[0].outcome == wire::RunOutcome::GONE);
    CHECK(after.ends[0].reason == "worker_restarted");
    CHECK_FALSE(keeper.isCleared());
}

TEST_CASE("A run that a restarted worker took before its restart was noticed is kept")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    const PollRuns hold = settled.run(runRequest("before", 1, 4000), Start);
    // The worker starts again here; the next start reaches its new life under the same name.
    keeper.request(runRequest("after", 2, 4000), Start + Milliseconds(50));
    const Calls calls(keeper.take());
    REQUIRE(calls.starts.size() == 1);
    keeper.reply(accepted(calls.starts[0].callId), Start + Milliseconds(51));
    keeper.take();

    SECTION("a listing of the new life shows it")
    {
        keeper.reply(listed(hold.callId, {{"after", 0, 0, 1}}, {}, 8), Start + Milliseconds(60));
    }
    SECTION("an announcement of the new life comes first")
    {
        keeper.announce(announcement(1, 8), Start + Milliseconds(55));
        const Calls look(keeper.take());
        CHECK(look.ends.empty());
        REQUIRE(look.holds.size() == 1);
        keeper.reply(listed(look.holds[0].callId, {{"after", 0, 0, 1}}, {}, 8), Start + Milliseconds(60));
    }
    const Calls news(keeper.take());
    REQUIRE(news.ends.size() == 1);
    CHECK(news.ends[0].tag.number == 1);
    CHECK(news.ends[0].outcome == wire::RunOutcome::GONE);
    CHECK(news.stops.empty());
    CHECK(keeper.room().unclaimed.cpuMillis == 12'000);
}

TEST_CASE("A start that was under way when the worker restarted is settled by a higher fence")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    keeper.request(runRequest("a", 1), Start);
    const Calls first(keeper.take());
    REQUIRE(first.starts.size() == 1);
    keeper.announce(announcement(1, 8), Start + Milliseconds(5));
    const Calls second(keeper.take());
    CHECK(second.ends.empty());
    REQUIRE(second.holds.size() == 1);
    CHECK(second.holds[0].fence > FirstFence);
    keeper.reply(unanswered(first.starts[0].callId), Start + Milliseconds(50));
    const Calls again(keeper.take());
    REQUIRE(again.starts.size() == 1);
    keeper.reply(unanswered(again.starts[0].callId), Start + Milliseconds(150));
    keeper.reply(listed(second.holds[0].callId, {}, {}, 8), Start + Milliseconds(151));
    Calls third(keeper.take());
    if (third.ends.empty()) {
        const auto last = third.holds.back();
        keeper.reply(listed(last.callId, {}, {}, 8), Start + Milliseconds(152));
        third = Calls(keeper.take());
    }
    REQUIRE(third.ends.size() == 1);
    CHECK(third.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
}

TEST_CASE("A late announcement of an earlier life of the worker changes nothing")
{
    Settled settled;
    settled.keeper.announce(announcement(99, 6), Start);
    CHECK(Calls(settled.keeper.take()).holds.empty());
    CHECK(settled.keeper.state().bornMs == 7);
}

TEST_CASE("Runs of a worker that answers nothing are gone once their lease must have ended")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    const PollRuns hold = settled.run(runRequest("a", 1), Start);
    keeper.reply(unanswered(hold.callId), Start + Milliseconds(350));
    keeper.tick(Start + Milliseconds(600));
    Calls early(keeper.take());
    CHECK(early.ends.empty());
    keeper.tick(Start + Milliseconds(800));
    const Calls late(keeper.take());
    REQUIRE(late.ends.size() == 1);
    CHECK(late.ends[0].outcome == wire::RunOutcome::GONE);
}

TEST_CASE("An attempt that ended there before is raised, not given up")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    keeper.request(runRequest("a", 1), Start);
    const Calls first(keeper.take());
    keeper.reply(rejected(first.starts.at(0).callId, Rejection::OldAttempt), Start);
    const Calls second(keeper.take());
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts[0].key.attempt == 2);
    CHECK(second.ends.empty());
}

TEST_CASE("A worker that is about to leave gets nothing new")
{
    Settled settled;
    WorkerAnnouncement leaving = announcement(2);
    leaving.leaving = true;
    settled.keeper.announce(leaving, Start);
    settled.keeper.request(runRequest("a", 1), Start);
    const Calls calls(settled.keeper.take());
    CHECK(calls.starts.empty());
    REQUIRE(calls.ends.size() == 1);
    CHECK(calls.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
    CHECK_FALSE(settled.keeper.room().takesRuns);
}

TEST_CASE("Two runs of one task are never on the worker together")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    settled.run(runRequest("a", 1), Start);
    RunRequest again = runRequest("a", 7);
    again.tag.entry = "entry-2";
    keeper.request(again, Start + Milliseconds(1));
    CHECK(Calls(keeper.take()).starts.empty());
}

TEST_CASE("All sessions of a lost entry are withdrawn, what waits as well as what runs")
{
    Settled settled;
    WorkerKeeper &keeper = settled.keeper;
    settled.run(runRequest("a", 1, 12'000), Start);
    keeper.request(runRequest("b", 2, 12'000), Start);
    keeper.take();
    keeper.withdrawSessions("entry-1", 2, Start + Milliseconds(10));
    const Calls calls(keeper.take());
    CHECK(calls.stops.size() == 1);
    REQUIRE(calls.ends.size() == 1);
    CHECK(calls.ends[0].outcome == wire::RunOutcome::NOT_STARTED);
}
