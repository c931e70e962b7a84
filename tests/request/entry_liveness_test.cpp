#include "request/entry_liveness.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr Milliseconds Timeout{700};

} // namespace

TEST_CASE("An order counts until the time-out after the last echo of its entry")
{
    EntryLiveness liveness(Timeout);
    liveness.recordEcho("entry-1", 1, Start);
    CHECK(liveness.validUntil({"entry-1", 1, 5}) == Start + Timeout);
    CHECK(liveness.isAlive("entry-1", Start + Timeout));
    CHECK_FALSE(liveness.isAlive("entry-1", Start + Timeout + Milliseconds(1)));
    liveness.recordEcho("entry-1", 1, Start + Milliseconds(100));
    liveness.recordEcho("entry-1", 1, Start + Milliseconds(50)); // A delayed message proves nothing newer.
    CHECK(liveness.validUntil({"entry-1", 1, 5}) == Start + Timeout + Milliseconds(100));
}

TEST_CASE("Orders of earlier sessions, of other incarnations and of unknown entries never count")
{
    EntryLiveness liveness(Timeout);
    liveness.recordEcho("entry-1", 2, Start);
    CHECK(liveness.validUntil({"entry-1", 1, 5}) < Start);
    CHECK(liveness.validUntil({"entry-1-restarted", 2, 5}) < Start);
    CHECK_FALSE(liveness.isAlive("entry-2", Start));
    liveness.remove("entry-1");
    CHECK(liveness.validUntil({"entry-1", 2, 5}) < Start);
    CHECK_FALSE(liveness.isAlive("entry-1", Start));
}
