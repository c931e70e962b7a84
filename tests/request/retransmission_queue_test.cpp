#include "request/retransmission_queue.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("Unacknowledged items are sent once on each connection")
{
    RetransmissionQueue<int> queue;
    queue.add(10);
    queue.add(20);
    CHECK(queue.nextSequenceNumber() == 1);
    CHECK(queue.takeUnsent() == std::vector<int>{10, 20});
    CHECK_FALSE(queue.hasUnsent());
    queue.acknowledge(1);
    queue.add(30);
    CHECK(queue.takeUnsent() == std::vector<int>{30});
    queue.markAllUnsent();
    CHECK(queue.nextSequenceNumber() == 2);
    CHECK(queue.takeUnsent() == std::vector<int>{20, 30});
    queue.acknowledge(3);
    CHECK(queue.isEmpty());
}

TEST_CASE("A filter accepts each numbered item once and nothing after a gap")
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
