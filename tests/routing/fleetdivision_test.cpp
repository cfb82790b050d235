#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/fleetdivision.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

const units::PoolName Large("large");

std::string hostIp(int number)
{
    return "10." + std::to_string(1 + number % 5) + "." + std::to_string(number / 250) + "."
        + std::to_string(number % 250);
}

EndpointRegistry rosterOf(int endpoints)
{
    EndpointRegistry registry;
    for (int i = 0; i < endpoints; ++i) {
        DiscoveredEndpoint endpoint;
        endpoint.id = units::EndpointId("e" + std::to_string(i));
        endpoint.pool = Large;
        endpoint.address = "10.0.0.1:80";
        registry.update(endpoint);
    }
    return registry;
}

} // namespace

// Guards against a coordinator that examines more endpoints per request as the fleet grows.
TEST_CASE("FleetDivision.CandidatesForOneRequestDoNotGrowWithTheFleet")
{
    for (const int hosts : {60, 300, 1000, 2000}) {
        EndpointRegistry registry = rosterOf(10 * hosts);
        const FleetDivision division = divideFleet(registry.sizes(), {});
        for (int host = 0; host < hosts; host += 50) {
            registry.setDivision(division, division.cellOf(hostIp(host)));
            CHECK(registry.available(Large).size() > 250);
            CHECK(registry.available(Large).size() < 700);
        }
    }
}

TEST_CASE("FleetDivision.CellsHaveSimilarNumbersOfHosts")
{
    const FleetDivision division = divideFleet({{Large.value(), 9747}}, {});
    REQUIRE(division.cells() == 16);
    std::vector<int> hosts(division.cells());
    for (int host = 0; host < 985; ++host)
        ++hosts[division.cellOf(hostIp(host))];
    CHECK(*std::min_element(hosts.begin(), hosts.end()) > 35);
    CHECK(*std::max_element(hosts.begin(), hosts.end()) < 90);
}

TEST_CASE("FleetDivision.SmallFleetsAndSmallPoolsAreNotDivided")
{
    CHECK(divideFleet({{"a", 640}, {"b", 5}}, {}) == FleetDivision());
    const FleetDivision division = divideFleet({{"a", 9747}, {"b", 255}}, {});
    CHECK(division.isDivided(units::PoolName("a")));
    CHECK_FALSE(division.isDivided(units::PoolName("b")));
    for (std::uint32_t cell = 0; cell < division.cells(); ++cell)
        CHECK(division.isUsedIn(cell, units::PoolName("b"), units::EndpointId("e1")));
}

// Guards against hosts that list all their endpoints again each time one is added or removed.
TEST_CASE("FleetDivision.SmallChangesOfTheFleetKeepTheDivision")
{
    const FleetDivision division = divideFleet({{"a", 9747}}, {});
    CHECK(divideFleet({{"a", 5400}}, division) == division);
    CHECK(divideFleet({{"a", 10200}}, division) == division);
    CHECK(divideFleet({{"a", 2500}}, division).cells() == 4);
    CHECK(divideFleet({{"a", 20000}}, division).cells() == 32);
    CHECK(divideFleet({{"a", 300}}, FleetDivision(2, {"a"})) == FleetDivision());
}
