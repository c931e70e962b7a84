#pragma once

#include "owner/job_run.h"

#include <string>
#include <vector>

namespace marjoramferry {

/** A reply and the link to send it on; LocalLink addresses the router in this process. */
struct AddressedReply
{
    LinkId link = LocalLink;
    wire::OwnerReply reply;
};

/** Collects an owner's replies to requests. */
class ReplyQueue
{
public:
    void add(const Waiter &waiter, const wire::JobAnswer &answer);

    /** Adds a reply that states only the kind of answer. */
    void addKind(const Waiter &waiter, const std::string &jobId, wire::AnswerKind::type kind);

    std::vector<AddressedReply> take();

private:
    std::vector<AddressedReply> replies_;
};

} // namespace marjoramferry
