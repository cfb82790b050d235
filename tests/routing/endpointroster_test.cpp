#include <monsoongrade/routing/endpointroster.h>

#include <doctest/doctest.h>

#include <cmath>

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

// Guards against a release that costs each host the square of the number of endpoints.
TEST_CASE("EndpointRoster.OneChangeLooksAtTheLogarithmOfAllEndpoints")
{
    for (const int size : {600, 3000, 10000, 20000}) {
        EndpointRoster roster;
        for (int i = 0; i < size; ++i)
            roster.update(endpoint("e" + std::to_string(i)));
        const std::uint64_t before = roster.work().value();
        roster.remove(units::EndpointId("e17"), Start, Start + std::chrono::seconds(1));
        roster.dropMissing(Start + std::chrono::seconds(2));
        roster.update(endpoint("e17", 2));
        CHECK(available(roster) == std::size_t(size));
        CHECK(double(roster.work().value() - before) < 4 * std::log2(size));
    }
}

TEST_CASE("EndpointRoster.EndpointThatMovesToAnotherPoolLeavesTheFirst")
{
    EndpointRoster roster;
    roster.update(endpoint("a"));
    DiscoveredEndpoint moved = endpoint("a");
    moved.pool = units::PoolName("q");
    roster.update(moved);
    CHECK(available(roster) == 0);
    CHECK(roster.available(units::PoolName("q")).size() == 1);
    CHECK(roster.findAvailable(units::EndpointId("a"))->described.pool == units::PoolName("q"));
}
