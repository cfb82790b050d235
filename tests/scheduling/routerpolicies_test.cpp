#include <monsoongrade/scheduling/fixedsharepolicy.h>
#include <monsoongrade/scheduling/twochoicespolicy.h>

#include <scheduling/cellfixture.h>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <vector>

namespace monsoongrade::scheduling {

// Six routers divide engines of eight slots. If the remainders were rounded up, the engines
// would be over-committed; if down, a quarter of them would stay idle.
TEST_CASE_FIXTURE(CellFixture, "FixedSharePolicy.SharesOfAllRoutersAddUpToTheSlots")
{
    policy.endpoints
        = {{units::EndpointId("a"), 8}, {units::EndpointId("b"), 8}, {units::EndpointId("c"), 3}};
    std::vector<std::unique_ptr<FixedSharePolicy>> routers;
    for (int router = 0; router < 6; ++router) {
        routers.push_back(std::make_unique<FixedSharePolicy>(clock, sink));
        routers.back()->setRouters(router, 6);
        routers.back()->configure(policy);
        for (int i = 0; i < 20; ++i)
            routers.back()->ask(makeAsk(std::to_string(router) + "-" + std::to_string(i), "high"));
    }
    std::map<units::EndpointId, int> granted;
    for (const SlotGrant &grant : sink.grants)
        ++granted[grant.endpoint];
    CHECK(granted[units::EndpointId("a")] == 8);
    CHECK(granted[units::EndpointId("b")] == 8);
    CHECK(granted[units::EndpointId("c")] == 3);
}

TEST_CASE_FIXTURE(CellFixture, "TwoChoicesPolicy.WaitsWhileReportsSayFullAndTakesTheHighestFirst")
{
    TwoChoicesPolicy router(clock, sink, 1);
    router.configure(policy);
    router.reportLoad(units::EndpointId("engine"), 1);
    router.ask(makeAsk("low", "low"));
    router.ask(makeAsk("high", "high"));
    CHECK(sink.grants.empty());
    router.reportLoad(units::EndpointId("engine"), 0);
    REQUIRE(sink.grants.size() == 1);
    CHECK(sink.grants[0].request == units::RequestId("high"));
    clock.advance(std::chrono::minutes(1));
    router.tick();
    REQUIRE(sink.refusals.size() == 1);
    CHECK(sink.refusals[0].request == units::RequestId("low"));
}

} // namespace monsoongrade::scheduling
