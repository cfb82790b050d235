#include <monsoongrade/routing/queueing/waitforecast.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

WaitForecast breakdownAfter(const WaitForecaster &forecaster, TokensAhead ahead,
                            units::Duration expiresIn = milliseconds(6400))
{
    return forecaster.forecast(ahead, milliseconds(1200), expiresIn, 60, 157);
}

} // namespace

TEST_CASE("WaitForecast.RequestThatCanBeOnTimeIsQueued")
{
    // 60 endpoints prefill 6,000 tokens per millisecond in addition to their streams.
    const WaitForecaster forecaster;
    CHECK(breakdownAfter(forecaster, {4'000'000, 0}).decision == WaitDecision::Wait);
}

TEST_CASE("WaitForecast.LateRequestIsQueuedOnlyForShortWait")
{
    const WaitForecaster forecaster;
    CHECK(breakdownAfter(forecaster, {5'500'000, 0}).decision == WaitDecision::Wait);
    const WaitForecast refused = breakdownAfter(forecaster, {5'500'000, 3'000'000});
    CHECK(refused.decision == WaitDecision::Refuse);
    CHECK(refused.retryDelay > milliseconds(1300));
    CHECK(refused.retryDelay < milliseconds(1500));
}

TEST_CASE("WaitForecast.RequestThatExpiresSoonerIsRefused")
{
    const WaitForecaster forecaster;
    CHECK(breakdownAfter(forecaster, {5'500'000, 0}, milliseconds(2400)).decision
          == WaitDecision::Refuse);
}

TEST_CASE("WaitForecast.FollowsMeasuredDrainRate")
{
    // A quarter of the endpoints fails and the others prefill parts again: the queue drains at half
    // the usual rate, and requests that would have been on time no longer can be.
    WaitForecaster forecaster;
    for (int i = 0; i <= 40; ++i)
        forecaster.onDrained(150'000, Start + milliseconds(50) * i);
    CHECK(breakdownAfter(forecaster, {4'000'000, 0}).decision == WaitDecision::Refuse);
    CHECK(breakdownAfter(forecaster, {1'000'000, 0}).decision == WaitDecision::Wait);
}

TEST_CASE("WaitForecast.HangingEndpointsDoNotStopAdmission")
{
    WaitForecaster forecaster;
    for (int i = 0; i <= 40; ++i)
        forecaster.onDrained(0, Start + milliseconds(50) * i);
    CHECK(breakdownAfter(forecaster, {500'000, 0}).decision == WaitDecision::Wait);
}
