#include "owner/owner_quotas.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

// Guards against owners that together allow more than a tenant's limit.
TEST_CASE("The shares of all owners add up to the tenant's limit, and others have none")
{
    Catalog catalog;
    catalog.tenants["t"].maxRunning = 5;
    catalog.tenants["t"].maxQueued = 7;
    const OwnershipMap ownership = OwnershipMap().withOwner("a.0", Owner(), 1).withOwner("b.0", Owner(), 1);
    const LocalOwner first{"a.0", Owner()};
    const LocalOwner second{"b.0", Owner()};
    const LocalOwner none{"c.0", Owner()};
    const OwnerQuotas a(catalog, ownership, first);
    const OwnerQuotas b(catalog, ownership, second);
    const OwnerQuotas c(catalog, ownership, none);
    CHECK(a.runningLimit("t") + b.runningLimit("t") == 5);
    CHECK(a.queueLimit("t") + b.queueLimit("t") == 7);
    CHECK(c.runningLimit("t") == 0);
    CHECK(a.runningLimit("unknown") == 0);
    CHECK(a.queueLimit("unknown") == 0);
}
