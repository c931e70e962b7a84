#include "owner/claim_log.h"
#include "standins/table_model.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
const std::string Incarnation = "entry-1.0";

/** A claim log on a table that holds the fence row of its incarnation. */
struct Fixture
{
    TableModel table;
    MonotonicTime now = Start;
    ClaimLog log{Incarnation, putFence(), Start, ClaimTiming()};

    int64_t putFence()
    {
        return table.apply(TableTransaction{{}, {RowPut{ClaimLog::fenceKey(Incarnation), "0"}}, {}}).version;
    }

    std::optional<TableRequest> nextRequest()
    {
        now += Milliseconds(200);
        return log.nextRequest(now);
    }

    size_t countStoredClaims() const
    {
        size_t count = 0;
        for (const auto &[key, row] : table.rows()) {
            count += key.starts_with(rows::ClaimPrefix) ? ClaimLog::parseRow(row).size() : 0;
        }
        return count;
    }
};

const TableResult Lost{};

} // namespace

TEST_CASE_METHOD(Fixture, "Pending claims are written in one transaction, with no second call in flight")
{
    log.add(Claim{"a", 1, 0});
    log.add(Claim{"b", 2, 1});
    const auto request = nextRequest();
    REQUIRE(request);
    CHECK_FALSE(nextRequest());
    const auto outcome = log.onResult(table.apply(*request), now);
    CHECK(std::get<ClaimsCommitted>(outcome).claims.size() == 2);
    CHECK(countStoredClaims() == 2);
}

TEST_CASE_METHOD(Fixture, "A committed write whose answer was lost is confirmed by reading back")
{
    log.add(Claim{"a", 1, 0});
    table.apply(*nextRequest());
    CHECK(std::holds_alternative<std::monostate>(log.onResult(Lost, now)));
    const auto readBack = nextRequest();
    REQUIRE(std::holds_alternative<TableRead>(*readBack));
    CHECK(std::holds_alternative<ClaimsCommitted>(log.onResult(table.apply(*readBack), now)));
    CHECK(countStoredClaims() == 1);
}

TEST_CASE_METHOD(Fixture, "A write that was lost is retried, and its late first attempt conflicts")
{
    log.add(Claim{"a", 1, 0});
    const auto first = nextRequest();
    log.onResult(Lost, now);
    log.onResult(table.apply(*nextRequest()), now);
    const auto second = nextRequest();
    REQUIRE(std::holds_alternative<TableTransaction>(*second));
    CHECK(std::holds_alternative<ClaimsCommitted>(log.onResult(table.apply(*second), now)));
    CHECK(table.apply(*first).outcome == TableOutcome::Conflict);
    CHECK(countStoredClaims() == 1);
}

TEST_CASE_METHOD(Fixture, "Claims added while a renewal is unconfirmed are committed by a later write")
{
    now += Milliseconds(500);
    const auto renewal = nextRequest();
    REQUIRE(renewal);
    log.onResult(Lost, now);
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*nextRequest()), now);
    const auto second = nextRequest();
    table.apply(*renewal);
    log.onResult(table.apply(*second), now);
    bool isCommitted = false;
    for (int attempt = 0; attempt < 6; ++attempt) {
        if (const auto request = nextRequest()) {
            isCommitted |= std::holds_alternative<ClaimsCommitted>(log.onResult(table.apply(*request), now));
        }
    }
    CHECK(isCommitted);
    CHECK(countStoredClaims() == 1);
}

TEST_CASE_METHOD(Fixture, "Claims of a fenced owner are rejected and its lease ends")
{
    table.apply(TableTransaction{{}, {}, {ClaimLog::fenceKey(Incarnation)}});
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*nextRequest()), now);
    CHECK(std::holds_alternative<ClaimLogFenced>(log.onResult(table.apply(*nextRequest()), now)));
    CHECK_FALSE(log.hasLease(now));
    CHECK(countStoredClaims() == 0);
}

TEST_CASE_METHOD(Fixture, "A fenced owner does not take the fence row of a longer name for its own")
{
    const std::string longerName = Incarnation + "0";
    table.apply(TableTransaction{{}, {RowPut{ClaimLog::fenceKey(longerName), "1"}}, {ClaimLog::fenceKey(Incarnation)}});
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*nextRequest()), now);
    CHECK(std::holds_alternative<ClaimLogFenced>(log.onResult(table.apply(*nextRequest()), now)));
    CHECK_FALSE(log.hasLease(now));
}

TEST_CASE_METHOD(Fixture, "The lease counts from the first attempt of a retried write")
{
    const MonotonicTime firstSent = now + Milliseconds(600);
    now = firstSent - Milliseconds(200);
    const auto first = nextRequest();
    REQUIRE(first);
    table.apply(*first);
    log.onResult(Lost, now);
    now += Milliseconds(1000);
    log.onResult(table.apply(*nextRequest()), now);
    CHECK(log.hasLease(firstSent + Milliseconds(2499)));
    CHECK_FALSE(log.hasLease(firstSent + Milliseconds(2500)));
}

TEST_CASE_METHOD(Fixture, "Claim rows past the retention time are deleted by a later write")
{
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*nextRequest()), now);
    CHECK(countStoredClaims() == 1);
    now += std::chrono::seconds(601);
    log.onResult(table.apply(*nextRequest()), now);
    CHECK(countStoredClaims() == 0);
}

TEST_CASE("A malformed claim row throws")
{
    CHECK_THROWS(ClaimLog::parseRow(Row{"claim/x", 1, "{"}));
    CHECK_THROWS(ClaimLog::parseRow(Row{"claim/x", 1, "[[1]]"}));
    CHECK_THROWS(ClaimLog::parseRow(Row{"claim/x", 1, R"([["a","b",1,false]])"}));
}
