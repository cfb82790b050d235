#include <monsoongrade/routing/performance/prefillsizes.h>
#include <monsoongrade/routing/queueing/sizefairness.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::queueing;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start{hours(1)};
constexpr std::int64_t Small = 1000;
constexpr std::int64_t Large = 20000;

// Nine small requests, of which all are placed, and a large one, every 20 ms for a time. Of ten
// large ones, this many are placed.
units::TimePoint play(SizeFairness &fairness, units::TimePoint from, milliseconds time,
                      int largePlacedOfTen)
{
    int large = 0;
    units::TimePoint now = from;
    for (; now < from + time; now += milliseconds(20)) {
        for (int i = 0; i < 9; ++i)
            fairness.onPlaced(Small, now);
        if (large++ % 10 < largePlacedOfTen)
            fairness.onPlaced(Large, now);
        else
            fairness.onRefused(Large, now);
    }
    return now;
}

} // namespace

// Guards against long prompts that bear all refusals of an overload.
TEST_CASE("SizeFairness.ShortPrefillsLosePrecedenceWhileLongPromptsAreRefused")
{
    SizeFairness fairness;
    CHECK(fairness.shortPrecedence(Start) == 1);
    const units::TimePoint now = play(fairness, Start, seconds(4), 2);
    CHECK(fairness.shortPrecedence(now) < 0.1);
}

TEST_CASE("SizeFairness.PrecedenceReturnsWhenLongPromptsArePlaced")
{
    SizeFairness fairness;
    units::TimePoint now = play(fairness, Start, seconds(4), 2);
    now = play(fairness, now, seconds(15), 10);
    CHECK(fairness.shortPrecedence(now) == 1);
}

// Guards against a change where long prompts are served nearly as often as others.
TEST_CASE("SizeFairness.PrecedenceStaysWhileLongPromptsGetTheirShare")
{
    SizeFairness fairness;
    const units::TimePoint now = play(fairness, Start, seconds(20), 8);
    CHECK(fairness.shortPrecedence(now) == 1);
}

// Guards against an overload that is remembered after the pool was idle.
TEST_CASE("SizeFairness.EstimateExpires")
{
    SizeFairness fairness;
    const units::TimePoint now = play(fairness, Start, seconds(4), 0);
    CHECK(fairness.shortPrecedence(now + minutes(2)) == 1);
    fairness.onPlaced(Small, now + minutes(2));
    CHECK(fairness.shortPrecedence(now + minutes(2)) == 1);
}

// Guards against a few refusals that change the placing of a quiet pool.
TEST_CASE("SizeFairness.SingleRefusalsChangeNothing")
{
    SizeFairness fairness;
    for (int i = 0; i < 20; ++i) {
        fairness.onPlaced(Small, Start + seconds(i));
        fairness.onRefused(Large, Start + seconds(i));
    }
    CHECK(fairness.shortPrecedence(Start + seconds(20)) == 1);
}

TEST_CASE("performance::PrefillSizes.TheLargestDetermineTheMeanByTokens")
{
    performance::PrefillSizes sizes;
    CHECK_FALSE(sizes.mean(Start).has_value());
    for (int i = 0; i < 1000; ++i)
        sizes.add(i % 10 == 0 ? 10000 : 100, Start + milliseconds(i));
    CHECK(sizes.mean(Start + seconds(1)).value() == doctest::Approx(1090).epsilon(0.05));
    CHECK(sizes.meanByTokens(Start + seconds(1)).value() == doctest::Approx(9180).epsilon(0.05));
    CHECK_FALSE(sizes.meanByTokens(Start + minutes(2)).has_value());
}
