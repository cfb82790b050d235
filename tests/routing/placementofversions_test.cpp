#include "placerfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

const units::SoftwareVersion Old("v1");
const units::SoftwareVersion New("v2");

// Lists endpoint e0 as the only one of the old version.
void listVersions(PlacerFixture &fixture)
{
    const std::vector<EndpointRegistry::Status> listed = fixture.registry.available(TestPool);
    for (const EndpointRegistry::Status &status : listed) {
        DiscoveredEndpoint endpoint = status->registration;
        endpoint.softwareVersion = endpoint.id.value() == "e0" ? Old : New;
        fixture.registry.update(endpoint);
    }
}

PlacementQuery resumed(const std::string &part, std::int64_t shared, std::int64_t own)
{
    PlacementQuery query = modelQuery(part, shared, own);
    query.softwareVersion = Old;
    query.mayWait = true;
    return query;
}

} // namespace

// Guards against placing the rest of a stream at another software version because it has less load.
TEST_CASE("RequestPlacer.ResumedStreamIsPlacedAtItsVersionOnly")
{
    PlacerFixture fixture(4);
    listVersions(fixture);
    for (int i = 0; i < 30; ++i) {
        const auto choice = fixture.place(resumed("part" + std::to_string(i), 300, 100));
        REQUIRE(choice.endpoint != nullptr);
        CHECK(choice.endpoint->registration.id.value() == "e0");
    }
    PlacementQuery plain;
    plain.pool = TestPool;
    plain.softwareVersion = Old;
    CHECK(fixture.place(plain).endpoint->registration.id.value() == "e0");
}

TEST_CASE("RequestPlacer.ResumedStreamIsNotPlacedWithoutAnEndpointOfItsVersion")
{
    PlacerFixture fixture(4);
    PlacementQuery query = resumed("part", 300, 100);
    CHECK(fixture.place(query).endpoint == nullptr);
    CHECK_FALSE(
        fixture.placer.hasEndpoint(query, fixture.registry.available(TestPool), fixture.now));
    listVersions(fixture);
    query.tried = {units::EndpointId("e0")};
    CHECK(fixture.place(query).endpoint == nullptr);
}

// Guards against streams that wait, or are refused, behind long prompts for other endpoints.
TEST_CASE("RequestPlacer.ResumedStreamDoesNotWaitBehindLongPrompts")
{
    PlacerFixture fixture(4);
    listVersions(fixture);
    int waiting = 0;
    for (int i = 0; i < 100; ++i) {
        PlacementQuery query = modelQuery("long" + std::to_string(i), 13300, 3720);
        query.mayWait = true;
        waiting += fixture.place(query).isWaiting ? 1 : 0;
    }
    REQUIRE(waiting > 0);
    for (int i = 0; i < 12; ++i) {
        const auto choice = fixture.place(resumed("cold" + std::to_string(i), 13300, 3720));
        CHECK_FALSE(choice.isWaiting);
        CHECK(choice.endpoint != nullptr);
    }
}
