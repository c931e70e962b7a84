#include "connection/link_loop.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

constexpr const char *Address = "127.0.0.1:9790";
constexpr absl::Duration Patience = absl::Seconds(20);

wire::EntryBatch batchOf(int64_t number, size_t bytes)
{
    wire::EntryBatch batch;
    batch.session = number;
    batch.entry = std::string(bytes, 'x');
    return batch;
}

} // namespace

TEST_CASE("Slow reader: messages larger than the socket's buffer arrive whole and in order")
{
    constexpr int64_t Messages = 60;
    constexpr size_t Bytes = 400'000;
    absl::Mutex mutex;
    std::vector<int64_t> arrived;
    LinkHandlers receiving;
    receiving.onLinkMessage = [&](LinkId, const Message &message) {
        const auto &batch = std::get<wire::EntryBatch>(message);
        const absl::MutexLock lock(&mutex);
        arrived.push_back(batch.entry.size() == Bytes ? batch.session : -1);
    };
    receiving.onLinkClosed = [](LinkId) {};
    receiving.onPeerMessage = [](const std::string &, const Message &) {};
    receiving.onPeerClosed = [](const std::string &) {};
    LinkLoop receiver(Address, receiving);
    LinkLoop sender("", receiving);
    receiver.start();
    sender.start();
    for (int64_t i = 0; i < Messages; ++i) {
        sender.sendToPeer(Address, batchOf(i, Bytes));
    }
    const absl::MutexLock lock(&mutex);
    const auto isThere = [&] { return arrived.size() == Messages; };
    CHECK(mutex.AwaitWithTimeout(absl::Condition(&isThere), Patience));
    CHECK(std::ranges::is_sorted(arrived));
    CHECK(std::ranges::count(arrived, -1) == 0);
}
