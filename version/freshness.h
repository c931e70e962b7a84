#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoramferry {

/**
 * The evidence that a version is the current one, and its age.
 *
 * Evidence is dated by when it was asked for at its source, so that delays on the way only ever
 * make it older. A version never goes back.
 */
class Freshness
{
public:
    explicit Freshness(Milliseconds bound)
        : bound_(bound)
    {
    }

    /** Takes in that @p version was current at @p at. Evidence for an older version is ignored. */
    void confirm(int64_t version, MonotonicTime at)
    {
        if (version < version_) {
            return;
        }
        if (version > version_ || !evidenceAt_) {
            version_ = version;
            evidenceAt_ = at;
            return;
        }
        evidenceAt_ = std::max(*evidenceAt_, at);
    }

    bool isFresh(MonotonicTime now) const
    {
        return evidenceAt_ && now < *evidenceAt_ + bound_;
    }

    /** The last instant at which this evidence lets work start. */
    std::optional<MonotonicTime> notAfter() const
    {
        return evidenceAt_ ? std::optional(*evidenceAt_ + bound_) : std::nullopt;
    }

    std::optional<MonotonicTime> evidenceAt() const
    {
        return evidenceAt_;
    }

    int64_t version() const
    {
        return version_;
    }

private:
    Milliseconds bound_;
    int64_t version_ = 0;
    std::optional<MonotonicTime> evidenceAt_;
};

} // namespace marjoramferry
