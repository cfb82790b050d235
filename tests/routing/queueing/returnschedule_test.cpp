#include <monsoongrade/routing/queueing/returnschedule.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

struct Fixture
{
    ReturnSchedule schedule;

    static PlacementQuery query(std::uint64_t key, std::uint32_t tier = 2)
    {
        PlacementQuery result;
        result.returnKey = ReturnKey(key);
        result.tier = units::Tier(tier);
        result.ownTokens = 1000;
        result.expiresIn = seconds(6);
        return result;
    }
    std::optional<units::Duration> reserve(std::uint64_t key, units::Duration drainsIn,
                                           std::uint32_t tier = 2)
    {
        return schedule.reserve({"a", key}, query(key, tier), drainsIn, Start);
    }
    // A new attempt, which has a new ticket.
    bool returns(std::uint64_t key, units::Duration after)
    {
        return schedule.onArrived({"b", key}, query(key), Start + after);
    }
};

} // namespace

TEST_CASE("ReturnSchedule.RetryInWindowIsScheduledOnce")
{
    // Guards against refusing a caller again that returns when it was told to, against precedence
    // for callers that return at any other time, and against precedence for a second retry.
    const std::vector<std::pair<units::Duration, bool>> arrivals = {{milliseconds(899), false},
                                                                    {milliseconds(900), true},
                                                                    {milliseconds(1000), true},
                                                                    {milliseconds(2000), true},
                                                                    {milliseconds(2001), false}};
    for (const auto &[after, isScheduled] : arrivals) {
        Fixture fixture;
        CHECK(fixture.reserve(1, seconds(1)) == seconds(1));
        CHECK(fixture.returns(1, after) == isScheduled);
        CHECK_FALSE(fixture.returns(1, after));
        CHECK(fixture.schedule.tokensAhead(units::Tier(2)) == 0);
    }
}

TEST_CASE("ReturnSchedule.RetryTimeIsAtMostAThirdOfTheTimeLeft")
{
    // Guards against capacity reserved for callers that do not wait for it, or that have too little
    // time left when they return.
    Fixture fixture;
    CHECK(fixture.reserve(1, seconds(2)) == seconds(2));
    CHECK_FALSE(fixture.reserve(2, milliseconds(2001)));
    PlacementQuery last = Fixture::query(3);
    last.expiresIn = milliseconds(1700);
    CHECK_FALSE(fixture.schedule.reserve({"a", 3}, last, milliseconds(500), Start));
    CHECK(fixture.schedule.size() == 1);
}

TEST_CASE("ReturnSchedule.ReservationsOfALowerTierAreNotAheadOfAHigherOne")
{
    // Guards against refusing requests of a higher tier because of reservations of a lower one.
    Fixture fixture;
    fixture.reserve(1, seconds(1), 2);
    fixture.reserve(2, seconds(1), 1);
    CHECK(fixture.schedule.tokensAhead(units::Tier(0)) == 0);
    CHECK(fixture.schedule.tokensAhead(units::Tier(1)) == 1000);
    CHECK(fixture.schedule.tokensAhead(units::Tier(2)) == 2000);
}

TEST_CASE("ReturnSchedule.ReservationsExpireAndAreCounted")
{
    // Guards against capacity that stays reserved for callers that do not return.
    Fixture fixture;
    fixture.reserve(1, seconds(1));
    fixture.reserve(2, milliseconds(1500));
    CHECK_FALSE(fixture.returns(9, milliseconds(2001)));
    CHECK(fixture.schedule.tokensAhead(units::Tier(2)) == 1000);
    const ReturnSchedule::Counts counts = fixture.schedule.takeCounts();
    CHECK(counts.booked == 2);
    CHECK(counts.missed == 1);
    CHECK(fixture.schedule.takeCounts().booked == 0);
}

TEST_CASE("ReturnSchedule.NumberOfReservationsIsBounded")
{
    // Guards against unbounded memory, and against reservations for requests that can't be
    // recognised when they return. Beyond the bound, a refusal is as without a schedule.
    Fixture fixture;
    CHECK_FALSE(fixture.reserve(0, seconds(1)));
    for (std::uint64_t key = 1; key <= 4096; ++key)
        CHECK(fixture.reserve(key, seconds(1)));
    CHECK_FALSE(fixture.reserve(4097, seconds(1)));
    CHECK(fixture.schedule.size() == 4096);
}

TEST_CASE("ReturnSchedule.RepeatedQueryGetsTheSameReservation")
{
    // Guards against a second reservation, or the loss of the first, when the answer is lost and
    // the host repeats its query.
    Fixture fixture;
    fixture.reserve(1, seconds(1));
    const PlacementTicket same{"a", 1};
    const units::TimePoint later = Start + milliseconds(25);
    CHECK_FALSE(fixture.schedule.onArrived(same, Fixture::query(1), later));
    const auto reserved = fixture.schedule.reserve(same, Fixture::query(1), seconds(2), later);
    CHECK(reserved == milliseconds(975));
    CHECK(fixture.schedule.tokensAhead(units::Tier(2)) == 1000);
}
