#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/endpointregistry.h>

#include <doctest/doctest.h>

#include <string>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t DatagramItems = 10;
constexpr auto Round = milliseconds(250);
const units::TimePoint Start{hours(1)};

EndpointInstance instance(const std::string &id, std::int64_t incarnation = 1)
{
    return {units::EndpointId(id), Incarnation(incarnation)};
}

DiscoveredEndpoint listedAsReady(const std::string &id, std::int64_t incarnation = 1)
{
    DiscoveredEndpoint endpoint;
    endpoint.id = units::EndpointId(id);
    endpoint.incarnation = Incarnation(incarnation);
    endpoint.pool = units::PoolName("p");
    endpoint.address = "10.0.0.1:80";
    return endpoint;
}

// The announcements that a host knows and its list of endpoints, as a gateway connects them.
struct Host
{
    Host()
        : registry({},
                   [this](const EndpointInstance &each) { return announcements.isLeaving(each); })
    {
    }

    void hearLeaving(const EndpointInstance &endpoint, units::TimePoint at)
    {
        if (announcements.setLeaving(endpoint, at))
            registry.onLeavingAnnounced(endpoint);
    }
    bool uses(const std::string &id) const
    {
        return registry.findAvailable(units::EndpointId(id)) != nullptr;
    }

    EndpointAnnouncements announcements;
    EndpointRegistry registry;
};

} // namespace

// Guards against a list of the store, older than a response, that brings a leaving endpoint back.
TEST_CASE("EndpointAnnouncements.NoListBringsALeavingInstanceBack")
{
    Host host;
    host.registry.replaceAll({listedAsReady("a"), listedAsReady("b")}, Start, {});
    host.hearLeaving(instance("a"), Start);
    CHECK_FALSE(host.uses("a"));
    CHECK(host.uses("b"));
    host.registry.update(listedAsReady("a"));
    CHECK_FALSE(host.uses("a"));
    host.registry.remove(units::EndpointId("a"), Start, {});
    host.registry.replaceAll({listedAsReady("a"), listedAsReady("b")}, Start + minutes(2), {});
    CHECK_FALSE(host.uses("a"));
    host.registry.update(listedAsReady("a", 2));
    CHECK(host.uses("a"));
}

// Guards against an announcement that is lost because the endpoint was not listed yet.
TEST_CASE("EndpointAnnouncements.LeavingHoldsForAnEndpointListedLater")
{
    Host host;
    host.hearLeaving(instance("a"), Start);
    host.registry.update(listedAsReady("a"));
    CHECK_FALSE(host.uses("a"));
}

// Guards against an endpoint that another start under its id takes out of use.
TEST_CASE("EndpointAnnouncements.LeavingOfAnEarlierIncarnationDoesNotConcernALaterOne")
{
    Host host;
    host.registry.update(listedAsReady("a", 2));
    host.hearLeaving(instance("a", 1), Start);
    CHECK(host.uses("a"));
}

TEST_CASE("EndpointAnnouncements.LeavingIsSentForSeveralRoundsAndToJoiningHosts")
{
    EndpointAnnouncements announcements;
    CHECK(announcements.setLeaving(instance("a"), Start));
    CHECK_FALSE(announcements.setLeaving(instance("a"), Start + seconds(1)));
    int sent = 0;
    for (units::TimePoint now = Start; now < Start + seconds(10); now += Round)
        sent += int(announcements.takeLeavingUpdates(DatagramItems, now).size());
    CHECK(sent >= 3);
    CHECK(sent <= 10);
    announcements.setLeaving(instance("b"), Start + seconds(10));
    const auto latest = announcements.latestLeaving(1, Start + seconds(11));
    REQUIRE(latest.size() == 1);
    CHECK(latest[0].endpoint == instance("b"));
    CHECK(latest[0].age == seconds(1));
}

// Guards against memory that grows with every endpoint that ever left.
TEST_CASE("EndpointAnnouncements.LeavingIsForgottenLongAfterTheEndpointStopped")
{
    EndpointAnnouncements announcements;
    for (int i = 0; i < 10000; ++i)
        announcements.setLeaving(instance(std::to_string(i)), Start + milliseconds(i));
    CHECK(announcements.leaving() <= 5000);
    CHECK(announcements.isLeaving(instance("9999")));
    CHECK_FALSE(announcements.isLeaving(instance("0")));
    announcements.takeLeavingUpdates(DatagramItems, Start + minutes(10));
    CHECK(announcements.isLeaving(instance("9999")));
    announcements.takeLeavingUpdates(DatagramItems, Start + hours(2));
    CHECK(announcements.leaving() == 0);
}

// Guards against a rejection that ends the pause of an earlier one, and against a pause that keeps
// a restarted endpoint out of use.
TEST_CASE("EndpointAnnouncements.EachPauseLastsItsOwnTime")
{
    EndpointAnnouncements announcements;
    announcements.addPause(instance("a"), seconds(3), Start);
    announcements.addPause(instance("a"), milliseconds(500), Start + seconds(1));
    CHECK_FALSE(announcements.allowsRequests(instance("a"), Start + milliseconds(2999)));
    CHECK(announcements.allowsRequests(instance("a"), Start + seconds(3)));
    CHECK(announcements.allowsRequests(instance("a", 2), Start + seconds(1)));
    announcements.addPause(instance("a"), seconds(0), Start + seconds(4));
    CHECK(announcements.allowsRequests(instance("a"), Start + seconds(4)));
}

// Guards against an endpoint that a wrong number takes out of use for good.
TEST_CASE("EndpointAnnouncements.AbsurdPauseEnds")
{
    EndpointAnnouncements announcements;
    announcements.addPause(instance("a"), std::chrono::duration<double>(1e300), Start);
    CHECK_FALSE(announcements.allowsRequests(instance("a"), Start + minutes(30)));
    CHECK(announcements.allowsRequests(instance("a"), Start + hours(2)));
}

TEST_CASE("EndpointAnnouncements.PausesThatEndedTakeNoMemory")
{
    EndpointAnnouncements announcements;
    for (int i = 0; i < 1000; ++i)
        announcements.addPause(instance(std::to_string(i)), seconds(1), Start + seconds(i));
    CHECK(announcements.size() <= 2);
    CHECK(announcements.paused(Start + seconds(999)).size() == 1);
}
