#include "core/suspension_meter.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

} // namespace

// Guards against a freeze of the process, or a suspension before its start, that counts as a suspension.
TEST_CASE("Only the time that one of the clocks has not counted since the last reading is a suspension")
{
    constexpr Milliseconds EarlierSuspension{5000};
    constexpr Milliseconds Freeze{900};
    constexpr Milliseconds Suspension{700};
    SuspensionMeter meter;
    CHECK(meter.measure(Start + EarlierSuspension, Start) == Milliseconds(0));
    CHECK(meter.measure(Start + EarlierSuspension + Freeze, Start + Freeze) == Milliseconds(0));
    CHECK(meter.measure(Start + EarlierSuspension + Freeze + Suspension, Start + Freeze) == Suspension);
    CHECK(meter.measure(Start + EarlierSuspension + Freeze + Suspension, Start + Freeze) == Milliseconds(0));
}
