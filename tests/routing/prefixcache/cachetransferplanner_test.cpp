#include <monsoongrade/routing/prefixcache/cachetransferplanner.h>
#include <monsoongrade/routing/prefixcache/highestprefillrate.h>

#include "../placerfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using namespace monsoongrade::routing::prefixcache;
using std::chrono::milliseconds;

namespace {

// The two deployments whose engines should copy, and the two earlier ones.
constexpr CacheTransfer LinksOfA{163840, 1.1e6};
constexpr CacheTransfer LinksOfB{18432, 180000};
constexpr CacheTransfer EarlierFastPrefill{18432, 88000};
constexpr CacheTransfer EarlierSlowLinks{163840, 180000};

CacheTransferDemand demandOf(std::int64_t tokens, CacheTransfer transfer, double tokensPerMs,
                             units::Duration target)
{
    CacheTransferDemand demand;
    demand.tokens = tokens;
    demand.transfer = transfer;
    demand.tokensPerMs = tokensPerMs;
    demand.target = target;
    return demand;
}

CacheTransferDemand longPromptOfA()
{
    return demandOf(13300, LinksOfA, 61.2, milliseconds(2000));
}

double inMs(units::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Endpoints e0 to e3, in the failure domains even and odd. e0 holds the prefix.
struct PlannerFixture : PlacerFixture
{
    PlannerFixture()
        : PlacerFixture(4)
    {
        hold("e0");
    }

    EndpointRegistry::Status endpoint(const std::string &id) const
    {
        return registry.findAvailable(units::EndpointId(id));
    }
    void hold(const std::string &id)
    {
        index.recordSent("part", endpoint(id)->registration, now);
        index.recordPrefilled("part", endpoint(id)->registration, now);
    }
    std::optional<CacheTransferPlan> plan(const CacheTransferDemand &demand,
                                          const std::string &target,
                                          const std::vector<units::EndpointId> &excluded = {})
    {
        const CacheTransferSources sources = planner.sources(
            demand, index.holders("part"), registry.available(TestPool), excluded, now);
        const CacheTransferPlan *found = sources.planFor(endpoint(target)->registration);
        return found == nullptr ? std::nullopt : std::make_optional(*found);
    }
    std::optional<CacheTransferPlan> planOfA(const std::string &target)
    {
        return plan(longPromptOfA(), target);
    }

    PrefixCacheIndex index;
    CacheTransferPlanner planner;
};

} // namespace

// Guards against a wrong conversion of bytes and megabits.
TEST_CASE("CacheTransferPlanner.CopyTakesTheTimeOfItsBytesOnTheLink")
{
    PlannerFixture fixture;
    CHECK(inMs(fixture.planOfA("e2")->duration) == doctest::Approx(17.85).epsilon(0.01));
    CHECK(inMs(fixture.planOfA("e1")->duration) == doctest::Approx(35.7).epsilon(0.01));
    const auto ofB = fixture.plan(demandOf(13300, LinksOfB, 37.9, milliseconds(2500)), "e2");
    CHECK(inMs(ofB->duration) == doctest::Approx(12.9).epsilon(0.01));
}

// Guards against copies in the earlier deployments, and against none in those that gain from them.
TEST_CASE("CacheTransferPlanner.OnlyDeploymentsWithFastLinksCopy")
{
    PlannerFixture fixture;
    CHECK(fixture.planOfA("e2").has_value());
    CHECK(fixture.plan(demandOf(6300, LinksOfA, 61.2, milliseconds(600)), "e2").has_value());
    CHECK_FALSE(fixture.plan(demandOf(350, LinksOfA, 61.2, milliseconds(400)), "e2").has_value());
    CHECK(fixture.plan(demandOf(13300, LinksOfB, 37.9, milliseconds(2500)), "e2").has_value());
    CHECK(fixture.plan(demandOf(6300, LinksOfB, 37.9, milliseconds(1500)), "e2").has_value());
    for (const std::int64_t tokens : {350, 6300, 13300, 100000}) {
        const auto demand = demandOf(tokens, EarlierFastPrefill, 157, milliseconds(250));
        CHECK_FALSE(fixture.plan(demand, "e2").has_value());
    }
    for (const std::int64_t tokens : {350, 6300, 13300, 100000}) {
        const auto demand = demandOf(tokens, EarlierSlowLinks, 66, milliseconds(250));
        CHECK_FALSE(fixture.plan(demand, "e2").has_value());
    }
}

// Guards against copies in an earlier deployment while the rate is not measured yet, and when an
// overload makes its engines look slow.
TEST_CASE("CacheTransferPlanner.RateThatLooksLowInAnOverloadMakesNoCopies")
{
    PlannerFixture fixture;
    HighestPrefillRate rate;
    const auto isCopied = [&] {
        const auto demand
            = demandOf(13300, EarlierFastPrefill, rate.tokensPerMs(), milliseconds(1200));
        return fixture.plan(demand, "e2").has_value();
    };
    CHECK_FALSE(isCopied());
    const auto prefill = [&](std::chrono::minutes time, int tookMs) {
        for (int i = 0; i < 60 * time.count(); ++i, fixture.now += std::chrono::seconds(1))
            rate.addSample(17020, milliseconds(tookMs), fixture.now);
        fixture.hold("e0");
    };
    prefill(std::chrono::minutes(30), 150);
    CHECK(rate.tokensPerMs() == doctest::Approx(113.5).epsilon(0.01));
    prefill(std::chrono::minutes(9), 400);
    CHECK_FALSE(isCopied());
    // Other engines.
    prefill(std::chrono::minutes(30), 400);
    CHECK(rate.tokensPerMs() == doctest::Approx(42.6).epsilon(0.01));
}

// Guards against copies that take long in relation to the prefill, or that no caller notices.
TEST_CASE("CacheTransferPlanner.CopyMustBeMuchShorterThanThePrefillAndMatterToTheTarget")
{
    PlannerFixture fixture;
    // A copy of 18 ms, and a prefill of 6 times that or less: a quarter, with the margin of the
    // rate.
    CHECK(fixture.plan(demandOf(13300, LinksOfA, 120, milliseconds(0)), "e2").has_value());
    CHECK_FALSE(fixture.plan(demandOf(13300, LinksOfA, 130, milliseconds(0)), "e2").has_value());
    // 199 ms are saved: a twentieth of 3.99 s.
    CHECK(fixture.plan(demandOf(13300, LinksOfA, 61.2, milliseconds(3980)), "e2").has_value());
    CHECK_FALSE(
        fixture.plan(demandOf(13300, LinksOfA, 61.2, milliseconds(4000)), "e2").has_value());
}

// Guards against overflow: the number of tokens is a client's.
TEST_CASE("CacheTransferPlanner.AbsurdNumbersOfTokensAreNotCopied")
{
    PlannerFixture fixture;
    for (const std::int64_t tokens : {std::int64_t(-1000), std::int64_t(0), INT64_MAX}) {
        const auto demand = demandOf(tokens, LinksOfA, 61.2, milliseconds(2000));
        CHECK_FALSE(fixture.plan(demand, "e2").has_value());
    }
}

// Guards against a source whose link is taken up by copies.
TEST_CASE("CacheTransferPlanner.LinkOfASourceFreesUpAsTimePasses")
{
    PlannerFixture fixture;
    const auto first = fixture.planOfA("e2");
    REQUIRE(first.has_value());
    fixture.planner.onPlaced(*first, fixture.now);
    const auto second = fixture.planOfA("e2");
    REQUIRE(second.has_value());
    CHECK(inMs(second->duration) == doctest::Approx(2 * inMs(first->duration)));
    // So large a prefix that the prefill takes longer than all copies.
    const auto large = demandOf(200000, LinksOfA, 61.2, milliseconds(2000));
    CHECK(fixture.plan(large, "e2").has_value());
    for (int i = 0; i < 5; ++i)
        fixture.planner.onPlaced(*first, fixture.now);
    CHECK_FALSE(fixture.plan(large, "e2").has_value());
    fixture.now += milliseconds(10);
    CHECK(fixture.plan(large, "e2").has_value());
    fixture.now += milliseconds(100);
    CHECK(inMs(fixture.planOfA("e2")->duration) == doctest::Approx(inMs(first->duration)));
}

// Guards against sources that can't serve a copy: leaving, suspended, removed, restarted, tried in
// vain by the request, of another software version, or still prefilling the prefix.
TEST_CASE("CacheTransferPlanner.UnusableSourcesAreNotUsed")
{
    PlannerFixture fixture;
    CHECK_FALSE(fixture.plan(longPromptOfA(), "e2", {units::EndpointId("e0")}).has_value());
    CHECK_FALSE(fixture.planOfA("e0").has_value());

    const EndpointRegistry::Status source = fixture.endpoint("e0");
    source->leaving = true;
    CHECK_FALSE(fixture.planOfA("e2").has_value());
    source->leaving = false;
    CHECK(fixture.planOfA("e2").has_value());

    DiscoveredEndpoint upgraded = fixture.endpoint("e2")->registration;
    upgraded.softwareVersion = units::SoftwareVersion("next");
    fixture.registry.update(upgraded);
    CHECK_FALSE(fixture.planOfA("e2").has_value());
    upgraded.softwareVersion = {};
    fixture.registry.update(upgraded);

    for (int i = 0; i < 10; ++i)
        source->health.onFailure(fixture.now);
    CHECK_FALSE(fixture.planOfA("e2").has_value());

    fixture.index.recordSent("part", fixture.endpoint("e2")->registration, fixture.now);
    CHECK_FALSE(fixture.planOfA("e1").has_value());
    fixture.index.recordPrefilled("part", fixture.endpoint("e2")->registration, fixture.now);
    CHECK(fixture.planOfA("e1").has_value());
    DiscoveredEndpoint restarted = fixture.endpoint("e2")->registration;
    restarted.incarnation = Incarnation(2);
    fixture.registry.update(restarted);
    CHECK_FALSE(fixture.planOfA("e1").has_value());

    fixture.hold("e3");
    CHECK(fixture.planOfA("e1").has_value());
    fixture.registry.remove(units::EndpointId("e3"), fixture.now, fixture.now);
    CHECK_FALSE(fixture.planOfA("e1").has_value());
}

// Guards against traffic between failure domains where the own domain has a source, and against
// one source that serves all copies.
TEST_CASE("CacheTransferPlanner.SourceInTheFailureDomainOfTheEndpointIsPreferred")
{
    PlannerFixture fixture;
    CHECK(fixture.planOfA("e1")->source.value() == "e0");
    fixture.hold("e3");
    CHECK(fixture.planOfA("e1")->source.value() == "e3");
    CHECK(fixture.planOfA("e2")->source.value() == "e0");
    const auto ofOdd = fixture.planOfA("e1");
    fixture.planner.onPlaced(*ofOdd, fixture.now);
    fixture.planner.onPlaced(*ofOdd, fixture.now);
    CHECK(fixture.planOfA("e1")->source.value() == "e0");
}

// Guards against two hosts that place at once: neither knows of the other's copies, which may only
// make them slower.
TEST_CASE("CacheTransferPlanner.HostsThatPlaceAtOnceBothCopy")
{
    PlannerFixture first;
    PlannerFixture second;
    const auto plan = first.planOfA("e2");
    first.planner.onPlaced(*plan, first.now);
    CHECK(second.planOfA("e2")->source.value() == "e0");
    CHECK(first.planOfA("e2")->duration > second.planOfA("e2")->duration);
}
