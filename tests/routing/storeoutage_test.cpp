#include <monsoongrade/routing/storeoutage.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PeerUpdate host(const std::string &ip, units::Duration storeReachableFor, units::Duration age = {})
{
    PeerUpdate update;
    update.ip = ip;
    update.storeReachableFor = storeReachableFor;
    update.age = age;
    return update;
}

} // namespace

TEST_CASE("StoreOutage.RefusalOfOneHostIsNotFleetWide")
{
    // The store refuses this host for nine seconds and serves the others, and an endpoint leaves in
    // that time. If it were kept for two more seconds, as after an outage for all hosts, it would
    // get requests for longer than allowed after it has left.
    const std::vector<PeerUpdate> hosts{host("own", {}), host("b", seconds(60)), host("c", {})};
    CHECK_FALSE(wasFleetWideOutage(seconds(9), "own", hosts));
}

TEST_CASE("StoreOutage.DetectsFleetWideOutage")
{
    // The store was unavailable to all; one host reached it again a little earlier than this one.
    const std::vector<PeerUpdate> hosts{host("own", seconds(60)), host("b", milliseconds(400)),
                                        host("c", {})};
    CHECK(wasFleetWideOutage(seconds(5), "own", hosts));
    CHECK(wasFleetWideOutage(seconds(5), "own", {host("own", {})}));
}

TEST_CASE("StoreOutage.OldGossipDoesNotRuleOutOutage")
{
    CHECK(wasFleetWideOutage(seconds(1), "own", {host("b", seconds(2), milliseconds(1200))}));
}
