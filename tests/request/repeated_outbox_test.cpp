#include "request/repeated_outbox.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("Unacknowledged items are sent once on each connection")
{
    RepeatedOutbox<int> queue;
    queue.add(10);
    queue.add(20);
    CHECK(queue.nextNumber() == 1);
    CHECK(queue.takeUnsent() == std::vector<int>{10, 20});
    CHECK_FALSE(queue.hasUnsent());
    queue.acknowledge(1);
    queue.add(30);
    CHECK(queue.takeUnsent() == std::vector<int>{30});
    queue.repeat();
    CHECK(queue.nextNumber() == 2);
    CHECK(queue.takeUnsent() == std::vector<int>{20, 30});
    queue.acknowledge(3);
    CHECK(queue.isEmpty());
}

TEST_CASE("A filter accepts each numbered item once and nothing after a gap")
{
    RepeatFilter filter;
    CHECK(filter.countKnown(1, 2) == 0);
    CHECK(filter.countKnown(1, 3) == 2);
    CHECK(filter.countKnown(2, 1) == 1);
    CHECK(filter.last() == 3);
    CHECK(filter.countKnown(6, 2) == 2);
    CHECK(filter.last() == 3);
    CHECK(filter.countKnown(4, 0) == 0);
    CHECK(filter.last() == 3);
}
