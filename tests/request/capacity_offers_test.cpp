#include "request/capacity_offers.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
const Demand TaskDemand{3000, 64, 0};
const Demand OneTask{3500, 64'000, 0}; ///< Free capacity for one task.

wire::WaitingWork waiting(int rank, int tasks = 4)
{
    wire::WaitingWork result;
    result.rank = rank;
    result.demand = toWire(TaskDemand);
    result.tasks = tasks;
    return result;
}

/** The entry that sees all of @p free while the others don't; empty if there is no offer. */
std::string holderOf(const CapacityOffers &offers, const Demand &free)
{
    const std::vector<std::string> entries{"a", "b", "c", "d"};
    const auto seesAll = [&](const std::string &each) { return offers.visibleTo(each, free) == free; };
    const auto holder = std::ranges::find_if(entries, seesAll);
    return std::ranges::all_of(entries, seesAll) ? "" : *holder;
}

} // namespace

// Guards against several entries that order the same free capacity.
TEST_CASE("Capacity is offered to the entry with the most urgent task that fits, and the others see the rest")
{
    CapacityOffers offers;
    wire::WaitingWork tooLarge = waiting(1);
    tooLarge.demand.cpuMillis = 4000;
    offers.recordWaiting("a", tooLarge, Start);
    offers.recordWaiting("b", waiting(50), Start);
    offers.recordWaiting("c", waiting(20), Start);
    offers.update(OneTask, Start);
    CHECK(offers.visibleTo("c", OneTask) == OneTask);
    CHECK(offers.visibleTo("b", OneTask) == OneTask - TaskDemand);
    CHECK(offers.isOfferUnsent("c"));
    CHECK_FALSE(offers.isOfferUnsent("b"));
    offers.markSent("c");
    CHECK_FALSE(offers.isOfferUnsent("c"));
    // The order ends the offer, and the next entry gets its turn.
    offers.recordOrder("c");
    offers.recordWaiting("c", waiting(80), Start);
    offers.update(OneTask, Start);
    CHECK(holderOf(offers, OneTask) == "b");
}

TEST_CASE("Without waiting work and without a task that fits, all entries see the free capacity")
{
    CapacityOffers offers;
    offers.update(OneTask, Start);
    CHECK(holderOf(offers, OneTask).empty());
    offers.recordWaiting("a", waiting(20), Start);
    const Demand tooLittle{2900, 64'000, 0};
    offers.update(tooLittle, Start);
    CHECK(holderOf(offers, tooLittle).empty());
    offers.recordWaiting("a", std::nullopt, Start);
    offers.update(OneTask, Start);
    CHECK(holderOf(offers, OneTask).empty());
}

TEST_CASE("An offer covers as many waiting tasks as fit")
{
    CapacityOffers offers;
    const Demand free{10'000, 64'000, 0};
    offers.recordWaiting("a", waiting(20, 2), Start);
    offers.update(free, Start);
    CHECK(offers.visibleTo("b", free).cpuMillis == 4000);
}

// Guards against capacity that stays idle for an entry that has crashed, or whose report is outdated.
TEST_CASE("An offer that is not used ends after 10 ms, at once with the connection, and if the capacity is taken")
{
    CapacityOffers offers;
    offers.recordWaiting("a", waiting(20), Start);
    offers.recordWaiting("b", waiting(50), Start);
    offers.update(OneTask, Start);
    offers.update(OneTask, Start + Milliseconds(9));
    CHECK(holderOf(offers, OneTask) == "a");
    SECTION("expired")
    {
        offers.update(OneTask, Start + Milliseconds(10));
    }
    SECTION("connection lost")
    {
        offers.removeEntry("a");
        offers.update(OneTask, Start + Milliseconds(9));
    }
    SECTION("ordered by another entry")
    {
        offers.update(Demand{}, Start + Milliseconds(9));
        offers.recordWaiting("a", std::nullopt, Start + Milliseconds(9));
        offers.update(OneTask, Start + Milliseconds(9));
    }
    CHECK(holderOf(offers, OneTask) == "b");
}

TEST_CASE("A report of waiting work counts as absent once it is older than 300 ms")
{
    const int age = GENERATE(300, 301);
    CapacityOffers offers;
    offers.recordWaiting("a", waiting(20), Start);
    offers.update(OneTask, Start + Milliseconds(age));
    CHECK(holderOf(offers, OneTask) == (age > 300 ? "" : "a"));
}

TEST_CASE("An entry that leaves three offers in a row unused gets none for 200 ms")
{
    CapacityOffers offers;
    const auto offeredTo = [&](int atMs) {
        const MonotonicTime now = Start + Milliseconds(atMs);
        offers.recordWaiting("a", waiting(20), now);
        offers.update(OneTask, now);
        return holderOf(offers, OneTask);
    };
    for (const int atMs : {0, 10, 20}) {
        CHECK(offeredTo(atMs) == "a");
    }
    CHECK(offeredTo(30).empty());
    CHECK(offeredTo(229).empty());
    CHECK(offeredTo(230) == "a");
    offers.recordOrder("a"); // An offer that is used starts the count anew.
    CHECK(offeredTo(231) == "a");
}

// Guards against agents that all offer capacity again and again for the same few tasks.
TEST_CASE("An entry that leaves an offer unused gets the next one after it has reported again")
{
    CapacityOffers offers;
    offers.recordWaiting("a", waiting(20), Start);
    offers.update(OneTask, Start);
    offers.update(OneTask, Start + Milliseconds(10));
    CHECK(holderOf(offers, OneTask).empty());
    offers.recordWaiting("a", waiting(20), Start + Milliseconds(11));
    offers.update(OneTask, Start + Milliseconds(11));
    CHECK(holderOf(offers, OneTask) == "a");
}

// Guards against an entry that starves the others by its reports.
TEST_CASE("An entry that always claims to be urgent gets its part among the waiting entries and a tenth at most")
{
    CapacityOffers offers;
    constexpr int Count = 400;
    int greedy = 0;
    for (int i = 0; i < Count; ++i) {
        const MonotonicTime now = Start + Milliseconds(i);
        offers.recordWaiting("a", waiting(-10'000), now);
        for (const char *other : {"b", "c", "d"}) {
            offers.recordWaiting(other, waiting(50), now);
        }
        offers.update(OneTask, now);
        const std::string holder = holderOf(offers, OneTask);
        greedy += holder == "a" ? 1 : 0;
        offers.recordOrder(holder);
    }
    CHECK(greedy <= Count * (0.25 + 0.1));
    CHECK(greedy >= Count * 0.25);
}
