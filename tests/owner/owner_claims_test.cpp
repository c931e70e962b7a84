#include "owner/owner_claims.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

TableCall takeCall(EntryOutbox &out)
{
    const std::vector<EntryCommand> commands = out.take();
    REQUIRE(commands.size() == 1);
    return std::get<TableCall>(commands.front());
}

TableResult committed(int64_t version)
{
    TableResult result;
    result.outcome = TableOutcome::Done;
    result.version = version;
    return result;
}

} // namespace

// Guards against a job that starts before its claim is committed.
TEST_CASE("A claim is written once the log is open, and reported once it is committed")
{
    OwnerClaims claims{ClaimTiming()};
    EntryOutbox out;
    claims.advance(Start, out);
    CHECK(out.take().empty());
    claims.open("a.0", 1, Start);
    claims.add(Claim{"job", 1, 2, false});
    claims.advance(Start + Milliseconds(20), out);
    const TableCall call = takeCall(out);
    CHECK(call.caller == TableCaller::Claims);
    const ClaimOutcome outcome = claims.onTableResult(call.callId, committed(2), Start + Milliseconds(30), out);
    REQUIRE(std::holds_alternative<ClaimsCommitted>(outcome));
    CHECK(std::get<ClaimsCommitted>(outcome).claims == std::vector<Claim>{Claim{"job", 1, 2, false}});
}

// Guards against results of an earlier incarnation that commit claims of the present one.
TEST_CASE("The result of a call of an earlier incarnation is ignored")
{
    OwnerClaims claims{ClaimTiming()};
    EntryOutbox out;
    claims.open("a.0", 1, Start);
    claims.add(Claim{"job", 1, 2, false});
    claims.advance(Start + Milliseconds(20), out);
    const int64_t earlier = takeCall(out).callId;
    claims.open("a.1", 5, Start + Milliseconds(20));
    claims.add(Claim{"other", 1, 2, false});
    claims.advance(Start + Milliseconds(40), out);
    CHECK(takeCall(out).callId != earlier);
    const ClaimOutcome outcome = claims.onTableResult(earlier, committed(6), Start + Milliseconds(50), out);
    CHECK(std::holds_alternative<std::monostate>(outcome));
}

// Guards against a log that is emptied because the same ownership map is read again.
TEST_CASE("Opening the log of the same incarnation again keeps its claims")
{
    OwnerClaims claims{ClaimTiming()};
    EntryOutbox out;
    claims.open("a.0", 1, Start);
    claims.add(Claim{"job", 1, 2, false});
    claims.open("a.0", 1, Start);
    claims.advance(Start + Milliseconds(20), out);
    const TableCall call = takeCall(out);
    CHECK(std::holds_alternative<ClaimsCommitted>(claims.onTableResult(call.callId, committed(2), Start, out)));
}

// Guards against an owner that goes on after another one took over.
TEST_CASE("A fenced log is closed and reported once")
{
    OwnerClaims claims{ClaimTiming()};
    EntryOutbox out;
    claims.open("a.0", 1, Start);
    claims.add(Claim{"job", 1, 2, false});
    MonotonicTime now = Start + Milliseconds(20);
    claims.advance(now, out);
    TableResult result;
    result.outcome = TableOutcome::Conflict;
    ClaimOutcome outcome = claims.onTableResult(takeCall(out).callId, result, now, out);
    if (std::holds_alternative<std::monostate>(outcome)) {
        // The fence row is read back, and is gone.
        now += Milliseconds(200);
        claims.advance(now, out);
        outcome = claims.onTableResult(takeCall(out).callId, committed(9), now, out);
    }
    CHECK(std::holds_alternative<ClaimLogFenced>(outcome));
    CHECK_FALSE(claims.isOpen());
    CHECK(claims.consumeFencedFlag());
    CHECK_FALSE(claims.consumeFencedFlag());
}
