#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjoramferry {

/**
 * Tracks the newest evidence that a version is the current one, and whether it has expired.
 *
 * Evidence is dated by when it was requested from its source, so that delays in transit can only
 * make it look older. The version never decreases.
 */
class Freshness
{
public:
    explicit Freshness(Milliseconds maxAge)
        : maxAge_(maxAge)
    {
    }

    /** Records that @p version was current at @p at. Evidence for an older version is ignored. */
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
        return evidenceAt_ && now < *evidenceAt_ + maxAge_;
    }

    /** When the evidence expires; nothing if there is none. */
    std::optional<MonotonicTime> notAfter() const
    {
        return evidenceAt_ ? std::optional(*evidenceAt_ + maxAge_) : std::nullopt;
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
    Milliseconds maxAge_;
    int64_t version_ = 0;
    std::optional<MonotonicTime> evidenceAt_;
};

} // namespace marjoramferry
