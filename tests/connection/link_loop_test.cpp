#include "connection/link_loop.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr const char *ListenAddress = "127.0.0.1:9790";
constexpr absl::Duration ReceiveTimeout = absl::Seconds(20);

wire::EntryBatch makeBatch(int64_t sequence, size_t bytes)
{
    wire::EntryBatch batch;
    batch.session = sequence;
    batch.entry = std::string(bytes, 'x');
    return batch;
}

} // namespace

TEST_CASE("Messages larger than the socket buffer arrive complete and in order when the reader is slower")
{
    constexpr int64_t MessageCount = 60;
    constexpr size_t MessageBytes = 400'000;
    absl::Mutex mutex;
    std::vector<int64_t> received;
    LinkHandlers handlers;
    handlers.onLinkMessage = [&](LinkId, const Message &message) {
        const auto &batch = std::get<wire::EntryBatch>(message);
        const absl::MutexLock lock(&mutex);
        received.push_back(batch.entry.size() == MessageBytes ? batch.session : -1);
    };
    handlers.onLinkClosed = [](LinkId) {};
    handlers.onPeerMessage = [](const std::string &, const Message &) {};
    handlers.onPeerClosed = [](const std::string &) {};
    LinkLoop receiver(ListenAddress, handlers);
    LinkLoop sender("", handlers);
    receiver.start();
    sender.start();
    for (int64_t i = 0; i < MessageCount; ++i) {
        sender.sendToPeer(ListenAddress, makeBatch(i, MessageBytes));
    }
    const absl::MutexLock lock(&mutex);
    const auto hasAllMessages = [&] { return received.size() == MessageCount; };
    CHECK(mutex.AwaitWithTimeout(absl::Condition(&hasAllMessages), ReceiveTimeout));
    CHECK(std::ranges::is_sorted(received));
    CHECK(std::ranges::count(received, -1) == 0);
}
