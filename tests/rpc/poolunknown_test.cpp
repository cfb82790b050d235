#include "rpcfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::tests;

// The caller sees a short wait. Router and scheduler start together and the scheduler's
// configuration comes later than the first ask, which must not be refused for it.
TEST_CASE("Cells.AskForAPoolWaitsForTheConfiguration")
{
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    rpc::SchedulerServerSettings settings;
    settings.unknownPoolWait = std::chrono::minutes(2);
    TestScheduler scheduler("127.34.1.3", 0, configuration, fleet, settings);
    TwoSchedulers::publish(fleet, {scheduler.member()});
    TestRouter router("r", scheduler.server->port(), fleet);
    const Noted asked = router.ask("early");
    REQUIRE(
        eventually([&] { return scheduler.gauge("monsoongrade_asks_awaiting_pool", "") >= 1; }));
    configuration.offer(configurationOf(1, 1));
    CHECK(eventually([&] { return asked->isGranted(); }));
}

// The caller sees a refusal that says when to come back: the pool is in no configuration.
TEST_CASE("Cells.AskForAPoolThatNeverComesIsRefused")
{
    configuration::ConfigurationHolder configuration;
    membership::FleetHolder fleet;
    rpc::SchedulerServerSettings settings;
    settings.unknownPoolWait = std::chrono::milliseconds(50);
    TestScheduler scheduler("127.34.1.4", 0, configuration, fleet, settings);
    TwoSchedulers::publish(fleet, {scheduler.member()});
    TestRouter router("r", scheduler.server->port(), fleet);
    const Noted asked = router.ask("early");
    REQUIRE(eventually([&] { return asked->refusal().has_value(); }));
    CHECK(asked->refusal()->code == units::ResultCode::NoEndpointAvailable);
}
