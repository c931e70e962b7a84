#pragma once

#include "request/entry_command.h"
#include "version/ownership_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct RouterTiming
{
    Milliseconds resend{100}; ///< Pause before a job that found no owner is sent again.
    Milliseconds grace{300}; ///< How long after the deadline the owner's own answer is waited for.
    Milliseconds lookup{2000}; ///< Time for a lookup.
};

/** A request that the router wants handled by the owner in this process. */
struct LocalRequest
{
    Message message;
};

/**
 * Sends callers' jobs to the owners of their shards and brings the answers back.
 *
 * It holds a job until it is answered, so that a change of owner only delays it. A request that an
 * owner may have taken is never answered "not run" by the router itself.
 */
class JobRouter
{
public:
    explicit JobRouter(RouterTiming timing);

    void submit(uint64_t httpToken, wire::Job job, MonotonicTime now);

    void lookup(uint64_t httpToken, std::string jobId, bool cancel, MonotonicTime now);

    /** Takes in an owner's reply; @p from is its address, empty for this process. */
    void onReply(const std::string &from, const wire::OwnerReply &reply, MonotonicTime now, EntryOutbox &out);

    /** The connection to an owner broke: what waits there is sent again. */
    void onPeerClosed(const std::string &address, MonotonicTime now);

    /** Sends the requests that came since the last call. Returns what is for this process's own owner. */
    std::vector<LocalRequest>
    sendNew(const OwnershipMap &ownership, const std::string &self, MonotonicTime now, EntryOutbox &out);

    /** Looks at all requests: sends again what is due, answers what is late. */
    std::vector<LocalRequest>
    advance(const OwnershipMap &ownership, const std::string &self, MonotonicTime now, EntryOutbox &out);

    size_t waiting() const
    {
        return requests_.size();
    }

private:
    struct Request
    {
        uint64_t httpToken = 0;
        bool isLookup = false;
        bool cancel = false;
        wire::Job job; ///< Only the id is set for a lookup.
        int shard = 0;
        MonotonicTime submittedAt;
        MonotonicTime deadline;
        MonotonicTime nextSendAt;
        std::string sentTo; ///< Incarnation that has the request now; empty when it is to be sent.
        std::string sentToAddress; ///< Empty for this process.
    };

    /** Sends the request if its owner is known and doesn't have it. Returns the message if the owner is here. */
    std::optional<LocalRequest> send(int64_t id,
                                     Request &request,
                                     const OwnershipMap &ownership,
                                     const std::string &self,
                                     MonotonicTime now,
                                     EntryOutbox &out) const;
    int64_t add(Request request);
    Message messageFor(int64_t id, const Request &request, MonotonicTime now) const;
    void answer(int64_t id, const wire::JobAnswer &answer, MonotonicTime now, EntryOutbox &out);
    wire::JobAnswer lateAnswer(const Request &request) const;

    const RouterTiming timing_;
    std::map<int64_t, Request> requests_;
    std::vector<int64_t> new_; ///< Not looked at yet.
    int64_t lastId_ = 0;
};

} // namespace marjoramferry
