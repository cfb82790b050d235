#include "testwallclocks.h"

#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/endpointregistry.h>

#include <doctest/doctest.h>

#include <limits>
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
const LongAgoWallClock LongAgo;

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

std::optional<RequestsPerSecond> requestLimitOf(const EndpointAnnouncements &announcements,
                                                const EndpointInstance &listed)
{
    const AnnouncedLimits *known = announcements.limitsOf(listed);
    return known == nullptr ? std::nullopt : known->requests;
}

// The announcements that a host knows and its list of endpoints, as a gateway connects them.
struct Host
{
    explicit Host(const units::WallClock &wallClock = LongAgo)
        : announcements(wallClock)
        , registry({}, [this](const EndpointInstance &each) {
            announcements.onListed(each, now);
            return announcements.isLeaving(each, now);
        })
    {
    }

    void hearLeaving(const EndpointInstance &endpoint, units::TimePoint at)
    {
        if (announcements.setLeaving(endpoint, at))
            registry.onLeavingAnnounced(endpoint.id);
    }
    bool uses(const std::string &id) const
    {
        return registry.findAvailable(units::EndpointId(id)) != nullptr;
    }

    units::TimePoint now = Start;
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
    EndpointAnnouncements announcements(LongAgo);
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
    EndpointAnnouncements announcements(LongAgo);
    for (int i = 0; i < 10000; ++i)
        announcements.setLeaving(instance(std::to_string(i)), Start + milliseconds(i));
    CHECK(announcements.leaving() <= 5000);
    CHECK(announcements.isLeaving(instance("9999"), Start));
    CHECK_FALSE(announcements.isLeaving(instance("0"), Start));
    announcements.takeLeavingUpdates(DatagramItems, Start + minutes(10));
    CHECK(announcements.isLeaving(instance("9999"), Start));
    announcements.takeLeavingUpdates(DatagramItems, Start + hours(2));
    CHECK(announcements.leaving() == 0);
}

// Guards against a rejection that ends the pause of an earlier one, and against a pause that keeps
// a restarted endpoint out of use.
TEST_CASE("EndpointAnnouncements.EachPauseLastsItsOwnTime")
{
    EndpointAnnouncements announcements(LongAgo);
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
    EndpointAnnouncements announcements(LongAgo);
    announcements.addPause(instance("a"), std::chrono::duration<double>(1e300), Start);
    CHECK_FALSE(announcements.allowsRequests(instance("a"), Start + minutes(30)));
    CHECK(announcements.allowsRequests(instance("a"), Start + hours(2)));
}

TEST_CASE("EndpointAnnouncements.PausesThatEndedTakeNoMemory")
{
    EndpointAnnouncements announcements(LongAgo);
    for (int i = 0; i < 1000; ++i)
        announcements.addPause(instance(std::to_string(i)), seconds(1), Start + seconds(i));
    CHECK(announcements.size() <= 2);
    CHECK(announcements.paused(Start + seconds(999)).size() == 1);
}

namespace {

Incarnation startAt(units::TimePoint time)
{
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    return Incarnation(sinceEpoch.count());
}

} // namespace

// Guards against an announcement that is lost because the endpoint's start is read after it.
TEST_CASE("EndpointAnnouncements.LeavingHoldsForAStartThatIsReadLater")
{
    const ShiftedWallClock wallClock;
    Host host(wallClock);
    host.registry.update(listedAsReady("a", startAt(Start - minutes(10)).value()));
    host.hearLeaving({units::EndpointId("a"), startAt(Start - minutes(10))}, Start);
    host.now = Start + seconds(3);
    host.registry.update(listedAsReady("a", startAt(Start - seconds(2)).value()));
    CHECK_FALSE(host.uses("a"));
    host.registry.update(listedAsReady("a", startAt(Start + seconds(2)).value()));
    CHECK(host.uses("a"));
}

// Guards against an announcement that reaches a host which has read a newer start than its sender.
TEST_CASE("EndpointAnnouncements.LeavingKeptForAnEarlierStartConcernsTheOneListed")
{
    const ShiftedWallClock wallClock;
    Host host(wallClock);
    host.registry.update(listedAsReady("a", startAt(Start - seconds(2)).value()));
    host.hearLeaving({units::EndpointId("a"), startAt(Start - minutes(10))}, Start);
    CHECK_FALSE(host.uses("a"));
}

// Guards against a restarted endpoint that is not used because its clock is slow, or the hosts'
// fast.
TEST_CASE("EndpointAnnouncements.DoubtAboutAStartEnds")
{
    for (const auto error : {milliseconds(0), milliseconds(1500), milliseconds(60000)}) {
        ShiftedWallClock wallClock;
        wallClock.error = error;
        Host host(wallClock);
        host.registry.update(listedAsReady("a", startAt(Start - minutes(10)).value()));
        host.hearLeaving({units::EndpointId("a"), startAt(Start - minutes(10))}, Start);
        host.now = Start + seconds(3);
        host.registry.update(listedAsReady("a", startAt(Start + seconds(2)).value()));
        CHECK(host.uses("a") == (error < milliseconds(1500)));
        host.now += minutes(2);
        host.registry.restoreUnannounced();
        CHECK(host.uses("a"));
    }
}

// Guards against an endpoint that gets requests again because its announcement is old.
TEST_CASE("EndpointAnnouncements.DoubtDoesNotEndForTheStartThatAnnounced")
{
    const ShiftedWallClock wallClock;
    Host host(wallClock);
    const auto start = startAt(Start - minutes(10)).value();
    host.registry.update(listedAsReady("a", start));
    host.hearLeaving({units::EndpointId("a"), Incarnation(start)}, Start);
    host.registry.update(listedAsReady("a", 0));
    host.now += minutes(30);
    host.registry.update(listedAsReady("a", start));
    host.registry.restoreUnannounced();
    CHECK_FALSE(host.uses("a"));
}

// Guards against numbers that no clock shows.
TEST_CASE("EndpointAnnouncements.AbsurdStartsAreCompared")
{
    const ShiftedWallClock wallClock;
    EndpointAnnouncements announcements(wallClock);
    announcements.setLeaving(instance("a", startAt(Start).value()), Start);
    CHECK(announcements.isLeaving(instance("a", std::numeric_limits<std::int64_t>::min()), Start));
    CHECK_FALSE(
        announcements.isLeaving(instance("a", std::numeric_limits<std::int64_t>::max()), Start));
}

TEST_CASE("EndpointAnnouncements.OtherStartsAreReportedOnce")
{
    const ShiftedWallClock wallClock;
    EndpointAnnouncements announcements(wallClock);
    const EndpointInstance announcer{units::EndpointId("a"), startAt(Start - minutes(10))};
    const EndpointInstance later{units::EndpointId("a"), startAt(Start + seconds(5))};
    CHECK_FALSE(announcements.onListed(later, Start));
    announcements.setLeaving(announcer, Start);
    CHECK_FALSE(announcements.onListed(announcer, Start));
    const auto reported = announcements.onListed(later, Start + seconds(6));
    REQUIRE(reported);
    CHECK(reported->announcedFor == announcer.incarnation);
    CHECK(reported->isLater);
    CHECK(reported->age == seconds(6));
    CHECK_FALSE(announcements.onListed(later, Start + seconds(7)));
}

// Guards against a host that has no response from an endpoint and fills it beyond its slots.
TEST_CASE("EndpointAnnouncements.RejectionsThatAnEndpointSurvivesAreSentLikeLimits")
{
    EndpointAnnouncements announcements(LongAgo);
    CHECK(announcements.setLimits(instance("a"), {{}, 2.0}, Start));
    CHECK(announcements.limited() == 0);
    CHECK(announcements.brittle() == 1);
    const auto updates = announcements.takeLimitUpdates(DatagramItems, Start);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].limits == AnnouncedLimits{{}, 2.0});
    CHECK(announcements.limitsInForce(Start).size() == 1);
    CHECK(announcements.setLimits(instance("a"), {}, Start + seconds(1)));
    CHECK(announcements.brittle() == 0);
}

// Guards against a limit that comes back after the endpoint has lifted it under another start.
TEST_CASE("EndpointAnnouncements.LatestResponseDecidesOnTheLimit")
{
    const ShiftedWallClock wallClock;
    EndpointAnnouncements announcements(wallClock);
    const EndpointInstance known{units::EndpointId("a"), startAt(Start - minutes(10))};
    const EndpointInstance readLater{units::EndpointId("a"), startAt(Start - seconds(2))};
    announcements.setLimits(known, {1.5, {}}, Start);
    CHECK(requestLimitOf(announcements, readLater) == 1.5);
    CHECK_FALSE(requestLimitOf(announcements, {known.id, startAt(Start + seconds(2))}));
    CHECK(announcements.setLimits(readLater, {}, Start + seconds(1)));
    CHECK_FALSE(requestLimitOf(announcements, readLater));
    announcements.takeLimitUpdates(DatagramItems, Start + minutes(1));
    CHECK_FALSE(requestLimitOf(announcements, readLater));
}
