#include <monsoongrade/routing/prefillrate.h>

#include <doctest/doctest.h>

#include <initializer_list>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

// Reads of different sizes on engines that read so many tokens a millisecond, 40 ms beside.
void read(PrefillRate &speed, double tokensPerMs, int reads, units::TimePoint &now)
{
    for (int i = 0; i < reads; ++i) {
        const std::int64_t tokens = 500 + 1700 * (i % 11);
        const std::chrono::duration<double, std::milli> took(40 + double(tokens) / tokensPerMs);
        now += std::chrono::milliseconds(50);
        speed.onRead(tokens, std::chrono::duration_cast<units::Duration>(took), now);
    }
}

bool isNear(double value, double expected)
{
    return value > expected * 0.9 && value < expected * 1.1;
}

} // namespace

TEST_CASE("PrefillRate.StartValueHoldsUntilEnoughIsKnown")
{
    PrefillRate speed;
    units::TimePoint now = Start;
    read(speed, 66, 3, now);
    CHECK(speed.tokensPerMs(now) == PrefillRate::StartTokensPerMs);
    CHECK(speed.tokensIn(std::chrono::milliseconds(100), now) == 10000);
}

TEST_CASE("PrefillRate.LearnsSlowAndFastEnginesBesideTheFixedTime")
{
    for (const double tokensPerMs : {16.0, 66.0, 157.0, 640.0}) {
        PrefillRate speed;
        units::TimePoint now = Start;
        read(speed, tokensPerMs, 60, now);
        CHECK_MESSAGE(isNear(speed.tokensPerMs(now), tokensPerMs), "expected about ", tokensPerMs,
                      ", got ", speed.tokensPerMs(now));
    }
}

TEST_CASE("PrefillRate.FollowsAChangeOfSpeed")
{
    // New weights or other machines: the engines read at a quarter of the speed from now on. With
    // the old speed, endpoints would take four times as much as they can read in time.
    PrefillRate speed;
    units::TimePoint now = Start;
    read(speed, 160, 100, now);
    read(speed, 40, 400, now);
    CHECK_MESSAGE(isNear(speed.tokensPerMs(now), 40), "got ", speed.tokensPerMs(now));
}

TEST_CASE("PrefillRate.PoolOfMixedSpeedsGetsASpeedBetweenThem")
{
    PrefillRate speed;
    units::TimePoint now = Start;
    for (int i = 0; i < 20; ++i) {
        read(speed, 160, 11, now);
        read(speed, 40, 11, now);
    }
    CHECK(speed.tokensPerMs(now) > 40);
    CHECK(speed.tokensPerMs(now) < 160);
}

TEST_CASE("PrefillRate.EndpointThatHangsMisleadsOnlySoFar")
{
    // One of ten endpoints answers after 3 s whatever it reads. Its reads count as at most three
    // times as long as expected, so the pool does not look ten times as slow.
    PrefillRate speed;
    units::TimePoint now = Start;
    read(speed, 66, 60, now);
    for (int i = 0; i < 20; ++i) {
        read(speed, 66, 9, now);
        speed.onRead(5000, std::chrono::seconds(3), now);
    }
    CHECK_MESSAGE(speed.tokensPerMs(now) > 33, "got ", speed.tokensPerMs(now));
    CHECK_MESSAGE(speed.tokensPerMs(now) < 132, "got ", speed.tokensPerMs(now));
}

TEST_CASE("PrefillRate.ForgetsEnginesThatReadNothingForLong")
{
    PrefillRate speed;
    units::TimePoint now = Start;
    read(speed, 640, 60, now);
    now += std::chrono::minutes(2);
    CHECK(speed.tokensPerMs(now) == PrefillRate::StartTokensPerMs);
}
