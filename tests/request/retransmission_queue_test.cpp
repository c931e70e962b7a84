#include "request/retransmission_queue.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("Items go out once on a connection and again on the next one until acknowledged")
{
    RetransmissionQueue<int> outbox;
    outbox.add(10);
    outbox.add(20);
    CHECK(outbox.nextSequenceNumber() == 1);
    CHECK(outbox.takeUnsent() == std::vector<int>{10, 20});
    CHECK_FALSE(outbox.hasUnsent());
    outbox.acknowledge(1);
    outbox.add(30);
    CHECK(outbox.takeUnsent() == std::vector<int>{30});
    outbox.markAllUnsent();
    CHECK(outbox.nextSequenceNumber() == 2);
    CHECK(outbox.takeUnsent() == std::vector<int>{20, 30});
    outbox.acknowledge(3);
    CHECK(outbox.isEmpty());
}

TEST_CASE("A filter passes each numbered item once and takes nothing behind a gap")
{
    DuplicateFilter filter;
    CHECK(filter.acceptBatch(1, 2) == 0);
    CHECK(filter.acceptBatch(1, 3) == 2);
    CHECK(filter.acceptBatch(2, 1) == 1);
    CHECK(filter.lastSequenceNumber() == 3);
    CHECK(filter.acceptBatch(6, 2) == 2);
    CHECK(filter.lastSequenceNumber() == 3);
    CHECK(filter.acceptBatch(4, 0) == 0);
    CHECK(filter.lastSequenceNumber() == 3);
}
