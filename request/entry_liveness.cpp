#include "request/entry_liveness.h"

#include <algorithm>

namespace marjoramferry {

void EntryLiveness::recordEcho(const std::string &entryIncarnation, int64_t session, MonotonicTime sentAt)
{
    Proof &proof = proofs_[entryIncarnation];
    proof.session = std::max(proof.session, session);
    proof.echoedAt = std::max(proof.echoedAt, sentAt);
}

void EntryLiveness::remove(const std::string &entryIncarnation)
{
    proofs_.erase(entryIncarnation);
}

MonotonicTime EntryLiveness::lastEcho(const std::string &entryIncarnation) const
{
    const auto found = proofs_.find(entryIncarnation);
    return found == proofs_.end() ? MonotonicTime() : found->second.echoedAt;
}

MonotonicTime EntryLiveness::lastEcho(const RunOrderId &orderId) const
{
    const auto found = proofs_.find(orderId.entryIncarnation);
    const bool isKnown = found != proofs_.end() && found->second.session == orderId.session;
    return isKnown ? found->second.echoedAt : MonotonicTime();
}

bool EntryLiveness::isAlive(const std::string &entryIncarnation, MonotonicTime now) const
{
    const auto found = proofs_.find(entryIncarnation);
    return found != proofs_.end() && now - found->second.echoedAt <= timeout_;
}

MonotonicTime EntryLiveness::validUntil(const RunOrderId &orderId) const
{
    const MonotonicTime echoedAt = lastEcho(orderId);
    return echoedAt == MonotonicTime() ? MonotonicTime() : echoedAt + timeout_;
}

} // namespace marjoramferry
