#include "request/capacity_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramferry {

namespace {

/** Time for one measurement, and the weight of the previous ones in the moving average. */
constexpr Milliseconds Window{100};
constexpr double PreviousWeight = 0.7;
/** The same for the average over all time, which covers about a second. */
constexpr double PreviousAverageWeight = 0.9;
/** Limits of the relative error: few measurements may agree by chance, and an estimate is never useless. */
constexpr double MinRelativeError = 0.05;
constexpr double MaxRelativeError = 0.5;

double average(double previous, double value, double previousWeight)
{
    return previous * previousWeight + value * (1 - previousWeight);
}

} // namespace

void CapacityEstimate::endPass(bool isWorkWaiting, MonotonicTime now)
{
    if (passedAt_ == MonotonicTime()) {
        passedAt_ = now;
        windowBegan_ = now;
    }
    if (isWorkWaiting_) {
        const double elapsedMs = std::chrono::duration<double, std::milli>(now - passedAt_).count();
        waitedMs_ += elapsedMs;
        windowWaitedMs_ += elapsedMs;
        waitedWork_ += dispatchedWork_;
    }
    windowWork_ += std::exchange(dispatchedWork_, 0);
    isWorkWaiting_ = isWorkWaiting;
    passedAt_ = now;
    if (waitedMs_ >= static_cast<double>(Window.count())) {
        measure();
        measuredAt_ = now;
    }
    if (now - windowBegan_ >= Window) {
        updateAverages(now);
    }
}

void CapacityEstimate::measure()
{
    const double rate = std::max(0.0, waitedWork_) / waitedMs_;
    if (measuredAt_ == MonotonicTime()) {
        rate_ = rate;
    }
    variance_ = average(variance_, (rate - rate_) * (rate - rate_), PreviousWeight);
    rate_ = average(rate_, rate, PreviousWeight);
    waitedWork_ = 0;
    waitedMs_ = 0;
}

void CapacityEstimate::updateAverages(MonotonicTime now)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - windowBegan_).count();
    averageRate_ = average(averageRate_, std::max(0.0, windowWork_) / elapsedMs, PreviousAverageWeight);
    waitingShare_ = average(waitingShare_, windowWaitedMs_ / elapsedMs, PreviousWeight);
    if (!isShort()) {
        rate_ = std::max(rate_, averageRate_);
    }
    windowWork_ = 0;
    windowWaitedMs_ = 0;
    windowBegan_ = now;
}

void CapacityEstimate::followCapacity(double usableCpuMillis)
{
    if (isShort() && usableCpuMillis < usableCpuMillis_) {
        rate_ *= usableCpuMillis / usableCpuMillis_;
        waitedWork_ = 0;
        waitedMs_ = 0;
    }
    usableCpuMillis_ = usableCpuMillis;
}

double CapacityEstimate::relativeError() const
{
    if (rate_ <= 0) {
        return MaxRelativeError;
    }
    // Variance of an exponentially weighted mean of independent values.
    const double error = std::sqrt(variance_ * (1 - PreviousWeight) / (1 + PreviousWeight));
    return std::clamp(error / rate_, MinRelativeError, MaxRelativeError);
}

} // namespace marjoramferry
