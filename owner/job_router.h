#pragma once

#include "core/time.h"
#include "owner/entry_command.h"
#include "version/ownership_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct RouterTiming
{
    Milliseconds resendDelay{100}; ///< Delay before a request is sent again after it lost its owner.
    Milliseconds replyGrace{300}; ///< Additional wait for the owner's reply after the deadline.
    Milliseconds lookupTimeout{2000};
};

/** A request for the job owner in this process. */
struct LocalRequest
{
    Message message;
};

/**
 * Forwards the callers' requests to the owners of their shards and returns the answers.
 *
 * Each request is kept until it is answered and is sent again after a change of owner, so that such
 * a change only delays it. The router itself never answers "not run" for a request that an owner may
 * have accepted.
 */
class JobRouter
{
public:
    explicit JobRouter(RouterTiming timing);

    void submit(uint64_t httpToken, wire::Job job, MonotonicTime now);

    void lookup(uint64_t httpToken, std::string jobId, bool cancel, MonotonicTime now);

    /** Handles an owner's reply; @p from is the owner's address, empty for this process. */
    void onReply(const std::string &from, const wire::OwnerReply &reply, MonotonicTime now, EntryOutbox &out);

    /** Schedules the requests sent over a closed connection to be sent again. */
    void onPeerClosed(const std::string &address, MonotonicTime now);

    /** Sends the requests added since the last call. Returns those for the owner in this process. */
    std::vector<LocalRequest>
    sendNew(const OwnershipMap &ownership, const std::string &self, MonotonicTime now, EntryOutbox &out);

    /** Resends requests that are due and answers those that timed out. Returns those for the owner in this process. */
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
        std::string sentToIncarnation; ///< Owner that has the request; empty while it is unsent.
        std::string sentToAddress; ///< Address of that owner; empty for this process.
    };

    /** Sends the request if its owner is known and does not have it. Returns it if the owner is in this process. */
    std::optional<LocalRequest> send(int64_t id,
                                     Request &request,
                                     const OwnershipMap &ownership,
                                     const std::string &self,
                                     MonotonicTime now,
                                     EntryOutbox &out) const;
    int64_t add(Request request);
    Message makeMessage(int64_t id, const Request &request, MonotonicTime now) const;
    void answer(int64_t id, const wire::JobAnswer &answer, MonotonicTime now, EntryOutbox &out);
    wire::JobAnswer makeTimeoutAnswer(const Request &request) const;

    const RouterTiming timing_;
    std::map<int64_t, Request> requests_;
    std::vector<int64_t> unsent_; ///< Ids of requests added since the last send.
    int64_t lastId_ = 0;
};

} // namespace marjoramferry
