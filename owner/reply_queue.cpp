#include "owner/reply_queue.h"

#include <utility>

namespace marjoramferry {

void ReplyQueue::add(const Waiter &waiter, const wire::JobAnswer &answer)
{
    AddressedReply message;
    message.link = waiter.link;
    message.reply.requestId = waiter.requestId;
    message.reply.answer = answer;
    replies_.push_back(std::move(message));
}

void ReplyQueue::addKind(const Waiter &waiter, const std::string &jobId, wire::AnswerKind::type kind)
{
    wire::JobAnswer answer;
    answer.jobId = jobId;
    answer.kind = kind;
    add(waiter, answer);
}

std::vector<AddressedReply> ReplyQueue::take()
{
    return std::exchange(replies_, {});
}

} // namespace marjoramferry
