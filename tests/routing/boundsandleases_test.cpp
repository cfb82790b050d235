#include <monsoongrade/routing/endpointhealth.h>
#include <monsoongrade/routing/freshnesslease.h>
#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/queueing/retryafter.h>
#include <monsoongrade/routing/retryallowance.h>

#include <doctest/doctest.h>

#include <set>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

PeerUpdate updateOf(const std::string &ip, PeerState state, units::Duration age = {})
{
    PeerUpdate update;
    update.ip = ip;
    update.state = state;
    update.age = age;
    return update;
}

} // namespace

TEST_CASE("FreshnessLease.ExpiresBeforeTheLimitAndIgnoresEarlierRenewals")
{
    FreshnessLease lease(seconds(5), milliseconds(1300));
    CHECK_FALSE(lease.isFresh(Start));
    lease.renew(Start);
    lease.renew(Start - seconds(2)); // a slower call that was sent earlier
    CHECK(lease.isFresh(Start + milliseconds(3600)));
    CHECK_FALSE(lease.isFresh(Start + milliseconds(3700)));
}

TEST_CASE("RetryAllowance.HostsTogetherStayBelowTheLimit")
{
    // Six hosts see the same failure and each retries as often as it may. The sum must stay below
    // the limit for all requests of the window.
    const RetryLimit bound{0.2, 52, seconds(10)};
    int retries = 0;
    for (int host = 0; host < 6; ++host) {
        RetryAllowance allowance{units::TimePoint()};
        for (int i = 0; i < 100; ++i)
            allowance.onRequest(Start + milliseconds(i));
        while (allowance.trySpend(bound, 6, Start + seconds(1)))
            ++retries;
    }
    CHECK(retries <= 0.2 * 600 + 52);
    CHECK(retries >= 0.7 * (0.2 * 600 + 52));
}

TEST_CASE("RetryAllowance.WindowSlides")
{
    const RetryLimit bound{0, 10, seconds(10)};
    RetryAllowance allowance{units::TimePoint()};
    int spent = 0;
    while (allowance.trySpend(bound, 1, Start))
        ++spent;
    CHECK(spent == 9);
    CHECK_FALSE(allowance.hasLeft(bound, 1, Start + milliseconds(9999)));
    CHECK(allowance.hasLeft(bound, 1, Start + seconds(10)));
}

TEST_CASE("RetryAfter.SpreadsClientsWithinAThirdOfTheirTimeLimit")
{
    std::set<std::int64_t> times;
    for (int i = 0; i < 200; ++i) {
        const units::RequestId id("request-" + std::to_string(i));
        const auto time = queueing::retryAfter(units::ResultCode::NoEndpointAvailable, id,
                                               std::chrono::seconds(9));
        CHECK(time >= milliseconds(600));
        CHECK(time <= milliseconds(1200));
        times.insert(time.count());
        CHECK(queueing::retryAfter(units::ResultCode::NoEndpointAvailable, id, milliseconds(900))
              <= milliseconds(300));
    }
    CHECK(times.size() > 100);
}

TEST_CASE("RetryAfter.CoversTheDrainTimeOfALongQueue")
{
    const units::RequestId id("request-1");
    const auto time = queueing::retryAfter(milliseconds(1500), id, std::chrono::seconds(9));
    CHECK(time >= milliseconds(1500));
    CHECK(time <= milliseconds(3000));
    CHECK(queueing::retryAfter(units::Duration::zero(), id, std::chrono::seconds(9))
          >= milliseconds(250));
    CHECK(queueing::retryAfter(milliseconds(1500), id, milliseconds(900)) <= milliseconds(300));
}

TEST_CASE("EndpointHealth.TwoConsecutiveFailuresSuspendUntilATrialSucceeds")
{
    EndpointHealth health;
    health.onFailure(Start);
    CHECK(health.accepts(Start));
    health.onFailure(Start);
    CHECK_FALSE(health.accepts(Start));
    const units::TimePoint later = Start + milliseconds(400);
    CHECK(health.accepts(later));
    health.onSent(later);
    CHECK_FALSE(health.accepts(later)); // no second request until the trial has ended
    health.onSuccess(later);
    CHECK(health.accepts(later));
}

TEST_CASE("EndpointHealth.FailuresAndLatencyOfAnAvoidedEndpointDecay")
{
    EndpointHealth health;
    for (int i = 0; i < 30; ++i) {
        health.onErrorResponse(Start);
        health.onLatency(8, Start);
    }
    CHECK(health.accepts(Start));
    CHECK(health.failureRate(Start) > 0.9);
    CHECK(health.slowness(Start) > 7);
    CHECK(health.failureRate(Start + seconds(12)) < 0.1);
    CHECK(health.slowness(Start + seconds(12)) < 1.6);
}

TEST_CASE("PeerTable.HostIsLostAfterSixMissedRoundsAndReturns")
{
    PeerTable table;
    table.receive(updateOf("10.0.0.2", PeerState::Serving), Start);
    CHECK(table.live(Start + milliseconds(1499)).size() == 1);
    CHECK(table.live(Start + milliseconds(1500)).empty());
    CHECK(table.recipients(Start + seconds(60)).size() == 1);
    table.receive(updateOf("10.0.0.2", PeerState::Leaving), Start + seconds(60));
    CHECK(table.live(Start + seconds(60)).at(0).state == PeerState::Leaving);
}

TEST_CASE("PeerTable.OutdatedUpdateFromAThirdHostIsIgnored")
{
    // A host reports that it is leaving; a third host still forwards its earlier state.
    PeerTable table;
    table.receive(updateOf("10.0.0.2", PeerState::Leaving), Start);
    table.receive(updateOf("10.0.0.2", PeerState::Serving, milliseconds(250)), Start);
    CHECK(table.live(Start).at(0).state == PeerState::Leaving);
}

TEST_CASE("PeerTable.UnreportedSeedIsARecipientButNotALiveHost")
{
    PeerTable table;
    table.addSeed("10.0.0.9");
    CHECK(table.live(Start).empty());
    CHECK(table.recipients(Start) == std::vector<std::string>{"10.0.0.9"});
}

// Guards against spending once more what an earlier process of the host has spent of its share.
TEST_CASE("RetryAllowance.NothingIsSpentWithinAWindowAfterTheStart")
{
    const RetryLimit bound{0.2, 52, seconds(10)};
    RetryAllowance allowance(Start);
    for (int i = 0; i < 100; ++i)
        allowance.onRequest(Start + seconds(5));
    CHECK_FALSE(allowance.hasLeft(bound, 1, Start));
    CHECK_FALSE(allowance.trySpend(bound, 1, Start + milliseconds(9999)));
    CHECK(allowance.trySpend(bound, 1, Start + seconds(10)));
}
