#include <monsoongrade/routing/queueing/tierhold.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing::queueing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));
const units::PoolName Pool("p");
constexpr units::Duration None = units::Duration::zero();

} // namespace

// Guards against a hold of the tier that was refused, of higher tiers, or of other pools.
TEST_CASE("TierHold.HoldsLowerTiersOfThePoolOnly")
{
    TierHold hold;
    hold.onRefused(Pool, units::Tier(1), seconds(1), Start);
    CHECK(hold.remaining(Pool, units::Tier(0), Start) == None);
    CHECK(hold.remaining(Pool, units::Tier(1), Start) == None);
    CHECK(hold.remaining(Pool, units::Tier(2), Start) == seconds(1));
    CHECK(hold.remaining(Pool, units::Tier(9), Start) == seconds(1));
    CHECK(hold.remaining(units::PoolName("other"), units::Tier(2), Start) == None);
}

// Guards against lower tiers that starve after a single refusal with a distant retry time.
TEST_CASE("TierHold.EndsAfterTwoSecondsAtMost")
{
    TierHold hold;
    hold.onRefused(Pool, units::Tier(1), std::chrono::hours(1), Start);
    CHECK(hold.remaining(Pool, units::Tier(2), Start) == seconds(2));
    CHECK(hold.remaining(Pool, units::Tier(2), Start + seconds(2)) == None);
}

// Guards against a hold that ends before callers without a retry time return.
TEST_CASE("TierHold.LastsHalfASecondAtLeast")
{
    TierHold hold;
    hold.onRefused(Pool, units::Tier(1), None, Start);
    CHECK(hold.remaining(Pool, units::Tier(2), Start) == milliseconds(500));
}

// Guards against a refusal that shortens the hold of an earlier one.
TEST_CASE("TierHold.LaterRefusalsOnlyExtendIt")
{
    TierHold hold;
    hold.onRefused(Pool, units::Tier(0), seconds(2), Start);
    hold.onRefused(Pool, units::Tier(1), milliseconds(500), Start);
    hold.onRefused(Pool, units::Tier(0), milliseconds(500), Start);
    CHECK(hold.remaining(Pool, units::Tier(1), Start) == seconds(2));
    CHECK(hold.remaining(Pool, units::Tier(2), Start) == seconds(2));
}

// Guards against a pool whose lower tiers are held for a single request that found no endpoint.
TEST_CASE("TierHold.SingleRefusalsHoldNothing")
{
    TierHold hold;
    for (int i = 0; i < 200; ++i)
        hold.onArrived(Pool, units::Tier(1), Start);
    hold.onRefused(Pool, units::Tier(1), seconds(1), Start);
    CHECK(hold.remaining(Pool, units::Tier(2), Start) == None);
    for (int i = 0; i < 3; ++i)
        hold.onRefused(Pool, units::Tier(1), seconds(1), Start);
    CHECK(hold.remaining(Pool, units::Tier(2), Start) == seconds(1));
}
