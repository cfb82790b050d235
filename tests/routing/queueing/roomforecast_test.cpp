#include <monsoongrade/routing/queueing/roomforecast.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
const units::PoolName Pool("p");
const units::Tier Tier(1);
constexpr std::size_t Endpoints = 10;

// The largest number of requests ahead with which one that expires in 8 s still waits.
std::size_t longestQueue(const RoomForecaster &forecaster, units::TimePoint now)
{
    std::size_t ahead = 0;
    while (
        forecaster.forecast(Pool, Tier, ahead + 1, seconds(1), seconds(8), Endpoints, now).decision
        == WaitDecision::Wait)
        ++ahead;
    return ahead;
}

void placeFor(RoomForecaster &forecaster, units::Tier tier, int perSecond, units::TimePoint &now)
{
    for (int i = 0; i < 4 * perSecond; ++i) {
        now += units::Duration(seconds(1)) / perSecond;
        forecaster.onPlaced(Pool, tier, now);
    }
}

} // namespace

// Guards against callers that are refused, or held in vain, before anything was measured.
TEST_CASE("RoomForecast.StartsWithOneRequestASecondForEachEndpoint")
{
    const RoomForecaster forecaster;
    CHECK(longestQueue(forecaster, Start) == 20);
    const WaitForecast refused
        = forecaster.forecast(Pool, Tier, 30, seconds(1), seconds(8), Endpoints, Start);
    CHECK(refused.decision == WaitDecision::Refuse);
    CHECK(refused.retryDelay == seconds(3));
}

// Guards against a first placement that is taken for the rate.
TEST_CASE("RoomForecast.FollowsTheMeasuredRate")
{
    RoomForecaster forecaster;
    units::TimePoint now = Start;
    forecaster.onPlaced(Pool, Tier, now);
    CHECK(longestQueue(forecaster, now) >= 20);
    placeFor(forecaster, Tier, 50, now);
    CHECK(longestQueue(forecaster, now) >= 90);
    placeFor(forecaster, Tier, 5, now);
    CHECK(longestQueue(forecaster, now) <= 20);
}

// Guards against a lower tier that waits as if it got the turns of higher ones.
TEST_CASE("RoomForecast.PlacementsOfHigherTiersDoNotCount")
{
    RoomForecaster forecaster;
    units::TimePoint now = Start;
    placeFor(forecaster, units::Tier(0), 50, now);
    CHECK(longestQueue(forecaster, now) <= 7);
    placeFor(forecaster, units::Tier(2), 50, now);
    CHECK(longestQueue(forecaster, now) >= 90);
}

// Guards against a pool that refuses all because nothing could be placed for a while.
TEST_CASE("RoomForecast.ForgetsTheRateAfterTwoSeconds")
{
    RoomForecaster forecaster;
    units::TimePoint now = Start;
    placeFor(forecaster, Tier, 1, now);
    CHECK(longestQueue(forecaster, now) < 20);
    CHECK(longestQueue(forecaster, now + milliseconds(2001)) == 20);
}
