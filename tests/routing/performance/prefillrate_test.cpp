#include <monsoongrade/routing/performance/prefillrate.h>

#include <doctest/doctest.h>

#include <initializer_list>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::performance;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

// Adds samples of different sizes, with a fixed time of 40 ms.
void addSamples(PrefillRate &rate, double tokensPerMs, int samples, units::TimePoint &now)
{
    for (int i = 0; i < samples; ++i) {
        const std::int64_t tokens = 500 + 1700 * (i % 11);
        const std::chrono::duration<double, std::milli> took(40 + double(tokens) / tokensPerMs);
        now += std::chrono::milliseconds(50);
        rate.addSample(tokens, std::chrono::duration_cast<units::Duration>(took), now);
    }
}

bool isNear(double value, double expected)
{
    return value > expected * 0.9 && value < expected * 1.1;
}

} // namespace

TEST_CASE("PrefillRate.UsesInitialValueUntilEnoughSamples")
{
    PrefillRate rate;
    units::TimePoint now = Start;
    addSamples(rate, 66, 3, now);
    CHECK(rate.tokensPerMs(now) == PrefillRate::InitialTokensPerMs);
    CHECK(rate.tokensIn(std::chrono::milliseconds(100), now) == 10000);
}

TEST_CASE("PrefillRate.EstimatesSlowAndFastEnginesWithFixedTime")
{
    for (const double tokensPerMs : {16.0, 66.0, 157.0, 640.0}) {
        PrefillRate rate;
        units::TimePoint now = Start;
        addSamples(rate, tokensPerMs, 60, now);
        CHECK_MESSAGE(isNear(rate.tokensPerMs(now), tokensPerMs), "expected about ", tokensPerMs,
                      ", got ", rate.tokensPerMs(now));
    }
}

TEST_CASE("PrefillRate.FollowsChangeOfRate")
{
    // A new model or other machines: the prefill rate drops to a quarter. With the old estimate,
    // endpoints would get four times as much as they can prefill in time.
    PrefillRate rate;
    units::TimePoint now = Start;
    addSamples(rate, 160, 100, now);
    addSamples(rate, 40, 400, now);
    CHECK_MESSAGE(isNear(rate.tokensPerMs(now), 40), "got ", rate.tokensPerMs(now));
}

TEST_CASE("PrefillRate.MixedPoolGetsIntermediateRate")
{
    PrefillRate rate;
    units::TimePoint now = Start;
    for (int i = 0; i < 20; ++i) {
        addSamples(rate, 160, 11, now);
        addSamples(rate, 40, 11, now);
    }
    CHECK(rate.tokensPerMs(now) > 40);
    CHECK(rate.tokensPerMs(now) < 160);
}

TEST_CASE("PrefillRate.InfluenceOfHangingEndpointIsBounded")
{
    // One of ten endpoints responds after 3 s regardless of the size. Its samples count as at most
    // three times the expected duration, so the pool does not appear ten times as slow.
    PrefillRate rate;
    units::TimePoint now = Start;
    addSamples(rate, 66, 60, now);
    for (int i = 0; i < 20; ++i) {
        addSamples(rate, 66, 9, now);
        rate.addSample(5000, std::chrono::seconds(3), now);
    }
    CHECK_MESSAGE(rate.tokensPerMs(now) > 33, "got ", rate.tokensPerMs(now));
    CHECK_MESSAGE(rate.tokensPerMs(now) < 132, "got ", rate.tokensPerMs(now));
}

TEST_CASE("PrefillRate.EstimateExpiresWithoutSamples")
{
    PrefillRate rate;
    units::TimePoint now = Start;
    addSamples(rate, 640, 60, now);
    now += std::chrono::minutes(2);
    CHECK(rate.tokensPerMs(now) == PrefillRate::InitialTokensPerMs);
}
