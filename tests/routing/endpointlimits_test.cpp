#include "testwallclocks.h"

#include <limitedarrivals.h>

#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/endpointratelimiter.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr auto Span = tests::LimitedArrivals::Span;
constexpr std::size_t DatagramItems = 10;
const EndpointInstance Endpoint{units::EndpointId("e1"), Incarnation(7)};
const units::TimePoint Start{hours(1)};

// The share of a host that has had this fraction all the time.
RateShare constantShare(double fraction, units::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
    return {fraction, fraction * seconds, fraction < 1};
}

// Places as many requests as the hosts' rate limiters allow, checking each millisecond, and returns
// the largest number of placements in any span.
int mostInSpan(std::vector<EndpointRateLimiter> &hosts, double fraction, seconds time)
{
    std::vector<units::TimePoint> placed;
    int most = 0;
    for (units::TimePoint now = Start; now < Start + time; now += milliseconds(1)) {
        const RateShare share = constantShare(fraction, now);
        for (EndpointRateLimiter &host : hosts) {
            if (!host.allows(share, now))
                continue;
            host.onPlaced(share);
            placed.push_back(now);
            most = std::max(most, int(std::count_if(placed.begin(), placed.end(), [now](auto at) {
                                return at > now - Span;
                            })));
        }
    }
    return most;
}

} // namespace

TEST_CASE("EndpointRateLimiter.WithoutALimitEverythingIsAllowed")
{
    EndpointRateLimiter limiter;
    for (int i = 0; i < 1000; ++i) {
        CHECK(limiter.allows({}, Start));
        limiter.onPlaced({});
    }
}

TEST_CASE("EndpointRateLimiter.LimitIsUsedAndNotExceeded")
{
    for (const double limit : {0.5, 1.0, 1.6, 8.0, 60.0}) {
        std::vector<EndpointRateLimiter> hosts(1);
        hosts[0].setLimit(limit, 0.5, Start);
        const int most = mostInSpan(hosts, 1, seconds(30));
        CHECK(most <= tests::LimitedArrivals::allowed(limit));
        CHECK(most >= int(limit * double(Span.count())));
    }
}

// Guards against hosts that each use the whole limit, or all send at the same moment.
TEST_CASE("EndpointRateLimiter.HostsThatPlaceIndependentlyTogetherKeepTheLimit")
{
    for (const std::size_t count : {2, 6, 8, 30, 100}) {
        for (const double limit : {0.5, 1.0, 1.6, 5.0, 20.0}) {
            std::vector<EndpointRateLimiter> hosts(count);
            for (std::size_t host = 0; host < count; ++host)
                hosts[host].setLimit(limit, double(host) / double(count), Start);
            const int most = mostInSpan(hosts, 1.0 / double(count), seconds(20));
            CHECK_MESSAGE(most <= tests::LimitedArrivals::allowed(limit), count, " hosts, limit ",
                          limit);
            CHECK_MESSAGE(most >= int(limit * double(Span.count())), count, " hosts, ", limit);
        }
    }
}

// Guards against unused shares that add up: hosts that were idle and then all place at once.
TEST_CASE("EndpointRateLimiter.IdleHostsDoNotSendAllAtOnce")
{
    for (const std::size_t count : {6, 8, 30, 100}) {
        for (const double limit : {0.5, 1.0, 1.9, 5.0}) {
            std::vector<EndpointRateLimiter> hosts(count);
            for (std::size_t host = 0; host < count; ++host)
                hosts[host].setLimit(limit, double(host) / double(count), Start - minutes(1));
            const int most = mostInSpan(hosts, 1.0 / double(count), seconds(10));
            CHECK_MESSAGE(most <= tests::LimitedArrivals::allowed(limit), count, " hosts, limit ",
                          limit);
        }
    }
}

// Guards against exceeding a limit while the coordinator is replaced and each host places alone.
TEST_CASE("EndpointRateLimiter.LimitIsKeptWhenTheCoordinatorIsLost")
{
    const double limit = 1.9;
    constexpr std::size_t Count = 12;
    std::vector<EndpointRateLimiter> hosts(Count);
    for (std::size_t host = 0; host < Count; ++host)
        hosts[host].setLimit(limit, double(host) / Count, Start - minutes(1));
    std::vector<units::TimePoint> placed;
    const auto tryPlace = [&](EndpointRateLimiter &host, double fraction, units::TimePoint now) {
        const RateShare share = constantShare(fraction, now);
        if (!host.allows(share, now))
            return;
        host.onPlaced(share);
        placed.push_back(now);
    };
    const units::TimePoint lost = Start + seconds(4);
    const units::TimePoint replaced = lost + milliseconds(500);
    for (units::TimePoint now = Start; now < replaced + seconds(4); now += milliseconds(1)) {
        if (now < lost)
            tryPlace(hosts[0], 1, now);
        for (std::size_t host = 1; host < Count && now >= lost && now < replaced; ++host)
            tryPlace(hosts[host], 1.0 / Count, now);
        if (now >= replaced)
            tryPlace(hosts[1], 1, now);
    }
    for (const units::TimePoint end : placed) {
        const auto inSpan = std::count_if(placed.begin(), placed.end(),
                                          [end](auto at) { return at > end - Span && at <= end; });
        CHECK(inSpan <= tests::LimitedArrivals::allowed(limit));
    }
}

// Guards against never sending to an endpoint again after it announced a limit of 0.
TEST_CASE("EndpointRateLimiter.LimitOfZeroAllowsATrialRequest")
{
    std::vector<EndpointRateLimiter> hosts(1);
    hosts[0].setLimit(0, 0.5, Start);
    CHECK(mostInSpan(hosts, 1, seconds(30)) == 1);
    CHECK(hosts[0].allows(constantShare(1, Start + minutes(1)), Start + minutes(1)));
}

TEST_CASE("EndpointAnnouncements.LatestResponseWinsInAnyOrderOfUpdates")
{
    const LongAgoWallClock wallClock;
    EndpointAnnouncements table(wallClock);
    CHECK_FALSE(table.setLimits(Endpoint, {}, Start));
    CHECK(table.setLimits(Endpoint, {2.0, {}}, Start));
    CHECK(table.setLimits(Endpoint, {}, Start + seconds(1)));
    CHECK_FALSE(table.setLimits(Endpoint, {2.0, {}}, Start));
    const auto updates = table.takeLimitUpdates(DatagramItems, Start + seconds(1));
    REQUIRE(updates.size() == 1);
    CHECK_FALSE(updates[0].limits.hasAny());
}

// Guards against a host that was disconnected and never learns of a limit in force.
TEST_CASE("EndpointAnnouncements.LimitInForceIsResentAndALiftedOneRemoved")
{
    const LongAgoWallClock wallClock;
    EndpointAnnouncements table(wallClock);
    table.setLimits(Endpoint, {2.0, {}}, Start);
    units::TimePoint now = Start;
    for (; now < Start + seconds(20); now += milliseconds(250))
        table.takeLimitUpdates(DatagramItems, now);
    std::size_t sent = 0;
    for (; now < Start + seconds(23); now += milliseconds(250))
        sent += table.takeLimitUpdates(DatagramItems, now).size();
    CHECK(sent >= 1);
    table.setLimits(Endpoint, {}, now);
    for (; now < Start + seconds(60); now += milliseconds(250))
        table.takeLimitUpdates(DatagramItems, now);
    CHECK(table.size() == 0);
}
