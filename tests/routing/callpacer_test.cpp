#include <monsoongrade/routing/callpacer.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("CallPacer.FirstCallsAreImmediateAndLaterOnesKeepTheInterval")
{
    // A hundred endpoints register one after the other: the first changes are read immediately,
    // later calls return several changes each.
    routing::CallPacer pacer(3, milliseconds(250));
    units::TimePoint now{seconds(10)};
    int calls = 0;
    const units::TimePoint end = now + seconds(10);
    while (now < end) {
        const units::Duration delay = pacer.delay(now);
        if (++calls <= 3)
            CHECK(delay == units::Duration::zero());
        CHECK(delay <= milliseconds(250));
        now += delay + milliseconds(1);
    }
    CHECK(calls <= 44);
}

TEST_CASE("CallPacer.CallsAfterAnIdlePeriodAreImmediateAgain")
{
    routing::CallPacer pacer(3, milliseconds(250));
    units::TimePoint now{seconds(10)};
    for (int i = 0; i < 10; ++i)
        now += pacer.delay(now);
    now += seconds(1);
    CHECK(pacer.delay(now) == units::Duration::zero());
    CHECK(pacer.delay(now) == units::Duration::zero());
}
