#include <monsoongrade/routing/storeoutage.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PeerUpdate host(const std::string &ip, units::Duration storeReachableFor, units::Duration age = {})
{
    PeerUpdate news;
    news.ip = ip;
    news.storeReachableFor = storeReachableFor;
    news.age = age;
    return news;
}

} // namespace

TEST_CASE("StoreOutage.HostThatWasTurnedAwayAloneKeepsNoMissingEndpoint")
{
    // The store refuses this host for nine seconds and serves the others. An endpoint leaves in
    // that time. Kept for two more seconds, as after an outage for all, it would get requests
    // later than an endpoint that leaves may get any.
    const std::vector<PeerUpdate> hosts{host("own", {}), host("b", seconds(60)), host("c", {})};
    CHECK_FALSE(wasFleetWideOutage(seconds(9), "own", hosts));
}

TEST_CASE("StoreOutage.OutageForAllIsTold")
{
    // All lost the store; one got it back a little earlier than this host.
    const std::vector<PeerUpdate> hosts{host("own", seconds(60)), host("b", milliseconds(400)),
                                        host("c", {})};
    CHECK(wasFleetWideOutage(seconds(5), "own", hosts));
    CHECK(wasFleetWideOutage(seconds(5), "own", {host("own", {})}));
}

TEST_CASE("StoreOutage.OldNewsProvesNothingAboutTheTimeSince")
{
    CHECK(wasFleetWideOutage(seconds(1), "own", {host("b", seconds(2), milliseconds(1200))}));
}
