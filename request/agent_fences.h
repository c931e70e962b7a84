#pragma once

#include <cstdint>
#include <string>

namespace marjoramferry {

/**
 * Highest fence that a message may name: about the year 2109 as a time of day, at which fences start. The number stays
 * exact in JSON, and an agent has thousands of further increments left above it.
 */
inline constexpr int64_t MaxReportedFence = int64_t{1} << 42;

enum class FenceVerdict {
    Plausible,
    Refused, ///< Above MaxReportedFence.
    RefusedAgain, ///< The same value as the last one that was refused.
};

/** Checks fences that messages name, before anything relies on them. */
class FenceCheck
{
public:
    FenceVerdict check(int64_t fence);

private:
    int64_t lastRefused_ = 0;
};

/** The fences that the incarnations of one agent have reported. Keeps them beyond the end of an incarnation. */
class AgentFences
{
public:
    /** Records the fence, unless it is refused. */
    FenceVerdict record(const std::string &incarnation, int64_t fence);

    /** The highest fence of all incarnations but this one; 0 if none is known. */
    int64_t highestOfOthers(const std::string &incarnation) const;

private:
    // The two highest of different incarnations: without any one of them, the highest of the others is among these.
    std::string highestIncarnation_;
    int64_t highest_ = 0;
    int64_t secondHighest_ = 0;
    FenceCheck check_;
};

} // namespace marjoramferry
