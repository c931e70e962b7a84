#include "request/claim_log.h"
#include "standins/table_model.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
const std::string Incarnation = "entry-1.0";

/** A table with the fence row of the incarnation in place. */
struct Fixture
{
    TableModel table;
    MonotonicTime now = Start;
    ClaimLog log{Incarnation, makeFence(), Start, ClaimTiming()};

    int64_t makeFence()
    {
        return table.apply(TableTransaction{{}, {RowPut{ClaimLog::fenceKey(Incarnation), "0"}}, {}}).version;
    }

    std::optional<TableRequest> next()
    {
        now += Milliseconds(200);
        return log.nextRequest(now);
    }

    size_t storedClaims() const
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

TEST_CASE_METHOD(Fixture, "Claims that wait are written together")
{
    log.add(Claim{"a", 1, 0});
    log.add(Claim{"b", 2, 1});
    const auto request = next();
    REQUIRE(request);
    CHECK_FALSE(next());
    const auto outcome = log.onResult(table.apply(*request), now);
    CHECK(std::get<ClaimsCommitted>(outcome).claims.size() == 2);
    CHECK(storedClaims() == 2);
}

TEST_CASE_METHOD(Fixture, "A write that took effect with its answer lost is found by reading back")
{
    log.add(Claim{"a", 1, 0});
    table.apply(*next());
    CHECK(std::holds_alternative<std::monostate>(log.onResult(Lost, now)));
    const auto readBack = next();
    REQUIRE(std::holds_alternative<TableRead>(*readBack));
    CHECK(std::holds_alternative<ClaimsCommitted>(log.onResult(table.apply(*readBack), now)));
    CHECK(storedClaims() == 1);
}

TEST_CASE_METHOD(Fixture, "A write that was lost on its way is written again, and a late first one changes nothing")
{
    log.add(Claim{"a", 1, 0});
    const auto first = next();
    log.onResult(Lost, now);
    log.onResult(table.apply(*next()), now);
    const auto second = next();
    REQUIRE(std::holds_alternative<TableTransaction>(*second));
    CHECK(std::holds_alternative<ClaimsCommitted>(log.onResult(table.apply(*second), now)));
    CHECK(table.apply(*first).outcome == TableOutcome::Conflict);
    CHECK(storedClaims() == 1);
}

TEST_CASE_METHOD(Fixture, "Claims that come while a lost renewal is unresolved are not taken for written with it")
{
    now += Milliseconds(500);
    const auto renewal = next();
    REQUIRE(renewal);
    log.onResult(Lost, now);
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*next()), now);
    const auto second = next();
    table.apply(*renewal);
    log.onResult(table.apply(*second), now);
    bool isCommitted = false;
    for (int step = 0; step < 6; ++step) {
        if (const auto request = next()) {
            isCommitted |= std::holds_alternative<ClaimsCommitted>(log.onResult(table.apply(*request), now));
        }
    }
    CHECK(isCommitted);
    CHECK(storedClaims() == 1);
}

TEST_CASE_METHOD(Fixture, "A deposed owner's claims fail")
{
    table.apply(TableTransaction{{}, {}, {ClaimLog::fenceKey(Incarnation)}});
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*next()), now);
    CHECK(std::holds_alternative<ClaimLogFenced>(log.onResult(table.apply(*next()), now)));
    CHECK_FALSE(log.hasLease(now));
    CHECK(storedClaims() == 0);
}

TEST_CASE_METHOD(Fixture, "The lease counts from the first sending of a write")
{
    const MonotonicTime firstSent = now + Milliseconds(600);
    now = firstSent - Milliseconds(200);
    const auto first = next();
    REQUIRE(first);
    table.apply(*first);
    log.onResult(Lost, now);
    now += Milliseconds(1000);
    log.onResult(table.apply(*next()), now);
    CHECK(log.hasLease(firstSent + Milliseconds(2499)));
    CHECK_FALSE(log.hasLease(firstSent + Milliseconds(2500)));
}

TEST_CASE_METHOD(Fixture, "Rows past the horizon are deleted with a later write")
{
    log.add(Claim{"a", 1, 0});
    log.onResult(table.apply(*next()), now);
    CHECK(storedClaims() == 1);
    now += std::chrono::seconds(601);
    log.onResult(table.apply(*next()), now);
    CHECK(storedClaims() == 0);
}

TEST_CASE("A damaged claim row is refused")
{
    CHECK_THROWS(ClaimLog::parseRow(Row{"claim/x", 1, "{"}));
    CHECK_THROWS(ClaimLog::parseRow(Row{"claim/x", 1, "[[1]]"}));
    CHECK_THROWS(ClaimLog::parseRow(Row{"claim/x", 1, R"([["a","b",1,false]])"}));
}
