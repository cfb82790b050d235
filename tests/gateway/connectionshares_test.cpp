#include <monsoongrade/gateway/connectionshares.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <initializer_list>

using namespace monsoongrade::gateway;

TEST_CASE("ConnectionShares.FitIntoTheDescriptorsOfTheProcess")
{
    for (const std::int64_t descriptors : {64, 1024, 3075, 4100, 65536}) {
        const ConnectionShares shares = divideDescriptors(descriptors);
        const std::size_t accepted = shares.callers + shares.refusedCallers + shares.otherHosts
            + shares.directory + 2 * shares.page;
        // An eighth at least is left for connections that the host opens.
        CHECK(accepted <= std::size_t(descriptors - descriptors / 8));
        CHECK(shares.callers >= std::size_t(descriptors) * 3 / 8);
        CHECK(shares.refusedCallers > 0);
        CHECK(shares.otherHosts > 0);
        CHECK(shares.directory > 0);
        CHECK(shares.page > 0);
    }
}
