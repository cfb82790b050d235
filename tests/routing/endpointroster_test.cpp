#include <monsoongrade/routing/endpointroster.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;

namespace {

constexpr units::TimePoint Start = units::TimePoint(std::chrono::hours(1));

DiscoveredEndpoint endpoint(const std::string &id, std::int64_t incarnation = 1)
{
    DiscoveredEndpoint result;
    result.id = units::EndpointId(id);
    result.incarnation = Incarnation(incarnation);
    result.pool = units::PoolName("p");
    result.address = "10.0.0.1:80";
    return result;
}

std::size_t available(const EndpointRoster &roster)
{
    return roster.available(units::PoolName("p")).size();
}

} // namespace

TEST_CASE("EndpointRoster.RemovedEndpointIsGoneAtOnceInQuietTimes")
{
    EndpointRoster roster;
    roster.update(endpoint("a"));
    roster.remove(units::EndpointId("a"), Start, {});
    CHECK(available(roster) == 0);
}

TEST_CASE("EndpointRoster.EntryMissingAfterAnOutageIsKeptUntilItsTime")
{
    EndpointRoster roster;
    roster.update(endpoint("a"));
    roster.update(endpoint("b"));
    roster.replaceAll({endpoint("b")}, Start, Start + std::chrono::seconds(2));
    CHECK(available(roster) == 2);
    roster.update(endpoint("a")); // written again
    roster.dropMissing(Start + std::chrono::seconds(3));
    CHECK(available(roster) == 2);
    roster.replaceAll({endpoint("b")}, Start, Start + std::chrono::seconds(2));
    roster.dropMissing(Start + std::chrono::seconds(2));
    CHECK(available(roster) == 1);
}

TEST_CASE("EndpointRoster.LeavingIsToldOnceSoThatConnectionsCanClose")
{
    int told = 0;
    EndpointRoster roster([&](const EndpointStatus &) { ++told; });
    roster.update(endpoint("a"));
    DiscoveredEndpoint draining = endpoint("a");
    draining.draining = true;
    roster.update(draining);
    roster.update(draining);
    roster.remove(units::EndpointId("a"), Start, {});
    CHECK(told == 1);
}

TEST_CASE("EndpointRoster.RestartedEndpointStartsWithAFreshRecord")
{
    // The endpoint crashed and started again under its id. Its old failures must not count.
    EndpointRoster roster;
    roster.update(endpoint("a", 1));
    const auto before = roster.available(units::PoolName("p"))[0];
    before->health.onFailure(Start);
    before->health.onFailure(Start);
    roster.update(endpoint("a", 2));
    const auto after = roster.available(units::PoolName("p"))[0];
    CHECK(before->leaving);
    CHECK_FALSE(before->health.accepts(Start));
    CHECK(after->health.accepts(Start));
}
