#include <monsoongrade/slots/loadtable.h>

#include <doctest/doctest.h>

using namespace monsoongrade;

namespace {

configuration::Configuration poolOf(int endpoints)
{
    configuration::Configuration configuration;
    configuration::PoolConfig &pool = configuration.pools[units::PoolName()];
    for (int i = 1; i <= endpoints; ++i) {
        configuration::EndpointConfig endpoint;
        endpoint.id = units::EndpointId("e" + std::to_string(i));
        endpoint.host = units::HostName("h" + std::to_string(i));
        endpoint.slots = 2;
        pool.endpoints.push_back(endpoint);
    }
    return configuration;
}

const units::EndpointId One("e1");
const units::EndpointId Two("e2");

} // namespace

TEST_CASE("LoadTable.PrefersTheLessLoadedOfTheTwoPicked")
{
    slots::LoadTable table(1);
    table.report(One, R"({"running":2,"waiting":1})");
    table.report(Two, R"({"running":0,"waiting":0})");
    int one = 0;
    for (int i = 0; i < 400; ++i)
        one += table.choose(poolOf(2), {}, {}) == One ? 1 : 0;
    // Only where both picks are the loaded one: a quarter.
    CHECK(one > 60);
    CHECK(one < 140);
}

TEST_CASE("LoadTable.LeavesOutSilentDrainingLeavingAndAvoidedEndpoints")
{
    slots::LoadTable table(1);
    membership::FleetView fleet;
    scheduling::SlotAsk ask;
    table.reportFailure(One);
    for (int i = 0; i < 50; ++i)
        CHECK(table.choose(poolOf(2), fleet, ask) == Two);
    table.report(One, "not json");
    CHECK(table.choose(poolOf(2), fleet, ask) == Two);
    table.report(One, R"({"running":0,"draining":true})");
    CHECK(table.choose(poolOf(2), fleet, ask) == Two);
    table.report(One, R"({"running":0})");
    ask.avoid = {Two};
    for (int i = 0; i < 50; ++i)
        CHECK(table.choose(poolOf(2), fleet, ask) == One);
    fleet.leavingEndpointHosts = {units::HostName("h1")};
    CHECK(table.choose(poolOf(2), fleet, ask) == Two);
}

TEST_CASE("LoadTable.ChoosesNothingWhereAllAreFull")
{
    slots::LoadTable table(1);
    table.report(One, R"({"running":2,"waiting":2})");
    CHECK_FALSE(table.choose(poolOf(1), {}, {}).has_value());
    table.report(One, R"({"running":2,"waiting":1})");
    CHECK(table.choose(poolOf(1), {}, {}) == One);
}
