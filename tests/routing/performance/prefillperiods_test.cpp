#include <monsoongrade/routing/performance/prefillperiods.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::performance;
using std::chrono::milliseconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
constexpr double Rate = 50; // tokens/ms

} // namespace

TEST_CASE("PrefillPeriods.CoversAllPrefillsUntilTheEndpointIsIdle")
{
    // Guards against samples that leave out the prefills that waited behind another one.
    PrefillPeriods periods;
    const EndpointStatus endpoint;
    periods.onPlaced(endpoint, 5000, Rate, Start);
    periods.onPlaced(endpoint, 10000, Rate, Start + milliseconds(10));
    CHECK(!periods.onFirstEvent(endpoint, 5000, Rate, Start + milliseconds(120)));
    const auto sample = periods.onFirstEvent(endpoint, 10000, Rate, Start + milliseconds(320));
    REQUIRE(sample);
    CHECK(sample->tokens == 15000);
    CHECK(sample->took == milliseconds(320));
    CHECK(sample->includesFixedTime);
}

TEST_CASE("PrefillPeriods.IdleTimeWithinAPeriodIsNotCounted")
{
    // Guards against endpoints with a few short prompts that look slow: the first event of a prompt
    // of 10 ms arrives after 50 ms, and the next prompt is placed before that.
    PrefillPeriods periods;
    const EndpointStatus endpoint;
    periods.onPlaced(endpoint, 500, Rate, Start);
    periods.onPlaced(endpoint, 500, Rate, Start + milliseconds(45));
    CHECK(!periods.onFirstEvent(endpoint, 500, Rate, Start + milliseconds(50)));
    const auto sample = periods.onFirstEvent(endpoint, 500, Rate, Start + milliseconds(95));
    REQUIRE(sample);
    CHECK(sample->took == milliseconds(60)); // 20 ms of prefill and the fixed 40 ms
}

TEST_CASE("PrefillPeriods.RemovedTokensMakeThePeriodUnusable")
{
    // Guards against samples with tokens that the endpoint has not prefilled, and against later
    // periods that are lost as well.
    PrefillPeriods periods;
    const EndpointStatus endpoint;
    periods.onPlaced(endpoint, 5000, Rate, Start);
    periods.onPlaced(endpoint, 5000, Rate, Start);
    periods.onRemoved(endpoint, 5000);
    CHECK(!periods.onFirstEvent(endpoint, 5000, Rate, Start + milliseconds(100)));
    periods.onPlaced(endpoint, 5000, Rate, Start + milliseconds(200));
    CHECK(periods.onFirstEvent(endpoint, 5000, Rate, Start + milliseconds(300)));
}

TEST_CASE("PrefillPeriods.LongPeriodIsDivided")
{
    // Guards against an endpoint under load, never idle, that gives no samples, and against one
    // request without a first event that makes all later samples unusable.
    PrefillPeriods periods;
    const EndpointStatus endpoint;
    for (int i = 0; i <= 30; ++i)
        periods.onPlaced(endpoint, 5000, Rate, Start);
    int samples = 0;
    std::int64_t tokens = 0;
    for (int i = 1; i <= 30; ++i) {
        if (i == 25)
            periods.onRemoved(endpoint, 5000);
        const auto now = Start + milliseconds(100 * i);
        if (const auto sample = periods.onFirstEvent(endpoint, 5000, Rate, now)) {
            ++samples;
            tokens += sample->tokens;
            CHECK(sample->took == milliseconds(1000));
            CHECK(sample->includesFixedTime == (samples == 1));
        }
    }
    CHECK(samples == 2);
    CHECK(tokens == 100000);
}
