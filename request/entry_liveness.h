#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <map>
#include <string>

namespace marjoramferry {

/**
 * The latest proof that each entry is alive: the time of this agent's message that the entry has echoed last. An
 * entry's orders count until its proof is older than the time-out.
 */
class EntryLiveness
{
public:
    explicit EntryLiveness(Milliseconds timeout)
        : timeout_(timeout)
    {
    }

    /** Records that the entry, in the given session, has echoed a message sent at @p sentAt. */
    void recordEcho(const std::string &entryIncarnation, int64_t session, MonotonicTime sentAt);
    void remove(const std::string &entryIncarnation);

    /** The send time of the last echoed message; the minimum if there is none. */
    MonotonicTime lastEcho(const std::string &entryIncarnation) const;
    /** The same for the entry of an order; the minimum for an order of an earlier session. */
    MonotonicTime lastEcho(const RunOrderId &orderId) const;
    bool isAlive(const std::string &entryIncarnation, MonotonicTime now) const;

    /** Until when the order may be carried out; in the past for an order of an earlier session. */
    MonotonicTime validUntil(const RunOrderId &orderId) const;

private:
    struct Proof
    {
        int64_t session = 0;
        MonotonicTime echoedAt;
    };

    const Milliseconds timeout_;
    std::map<std::string, Proof> proofs_; ///< By incarnation of the entry.
};

} // namespace marjoramferry
