#include "limitedengines.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int RequestsPerSecond = 250;
// Until the last span of 4 s that counts has passed, for engines that announce at once.
constexpr auto Observed = seconds(8);

} // namespace

// Guards against a coordinator that has no callers and so learns of many limits too late.
TEST_CASE("LimitedEngines.LimitsAnnouncedAtOnceReachACoordinatorWithoutCallers")
{
    LimitedEnginesFixture fixture(24, 2);
    fixture.firstHost.settings.cpuShare = LimitedEnginesFixture::CpuShareOfLargeHost;
    fixture.start({&fixture.firstHost, &fixture.secondHost, &fixture.thirdHost});
    fixture.announceLimits();
    fixture.callFor(Observed, RequestsPerSecond, {&fixture.secondHost, &fixture.thirdHost});
    CHECK(fixture.mostArrivals() > 0);
    CHECK(fixture.mostArrivals() <= fixture.maxArrivals());
}

// Guards against a new coordinator that starts without the limits in force.
TEST_CASE("LimitedEngines.LimitsHoldWhenALargerHostJoins")
{
    for (const double limit : {1.0, 4.0}) {
        LimitedEnginesFixture fixture(12, limit);
        fixture.thirdHost.settings.cpuShare = LimitedEnginesFixture::CpuShareOfLargeHost;
        fixture.start({&fixture.firstHost, &fixture.secondHost});
        fixture.announceLimits();
        const std::vector<GatewayHost *> callers{&fixture.firstHost, &fixture.secondHost};
        fixture.callFor(seconds(4), RequestsPerSecond, callers);
        fixture.start({&fixture.thirdHost});
        fixture.callFor(seconds(5), RequestsPerSecond, callers);
        CHECK(fixture.mostArrivals() > 0);
        CHECK_MESSAGE(fixture.mostArrivals() <= fixture.maxArrivals(), "limit ", limit);
    }
}

// Guards against a host that uses the whole limit beside the coordinator, whose answers are lost.
TEST_CASE("LimitedEngines.LimitsHoldWhenAHostGetsNoAnswersOfTheCoordinator")
{
    for (const double limit : {2.0, 10.0}) {
        LimitedEnginesFixture fixture(2, limit);
        fixture.thirdHost.settings.placementPort = 8010;
        fixture.firstHost.settings.cpuShare = LimitedEnginesFixture::CpuShareOfLargeHost;
        fixture.start({&fixture.firstHost, &fixture.secondHost, &fixture.thirdHost});
        fixture.announceLimits();
        fixture.callFor(Observed, RequestsPerSecond,
                        {&fixture.firstHost, &fixture.secondHost, &fixture.thirdHost});
        CHECK(fixture.mostArrivals() > 0);
        CHECK_MESSAGE(fixture.mostArrivals() <= fixture.maxArrivals(), "limit ", limit);
    }
}

// Guards against hosts that each use a share of the limit beside a coordinator that uses all of it.
TEST_CASE("LimitedEngines.LimitsHoldWhileAllIsWell")
{
    LimitedEnginesFixture fixture(2, 10);
    fixture.start({&fixture.firstHost, &fixture.secondHost, &fixture.thirdHost});
    fixture.announceLimits();
    fixture.callFor(Observed, RequestsPerSecond,
                    {&fixture.firstHost, &fixture.secondHost, &fixture.thirdHost});
    CHECK(fixture.mostArrivals() <= fixture.maxArrivals());
    // Three quarters of the limit are used.
    CHECK(fixture.mostArrivals() >= 0.75 * 10 * 4);
}
