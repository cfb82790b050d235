#include <monsoongrade/routing/endpointregistry.h>

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

std::size_t available(const EndpointRegistry &registry)
{
    return registry.available(units::PoolName("p")).size();
}

} // namespace

TEST_CASE("EndpointRegistry.RemovedEndpointIsDroppedAtOnceWithoutAnOutage")
{
    EndpointRegistry registry;
    registry.update(endpoint("a"));
    registry.remove(units::EndpointId("a"), Start, {});
    CHECK(available(registry) == 0);
}

TEST_CASE("EndpointRegistry.EntryMissingAfterAnOutageIsKeptUntilItsDeadline")
{
    EndpointRegistry registry;
    registry.update(endpoint("a"));
    registry.update(endpoint("b"));
    registry.replaceAll({endpoint("b")}, Start, Start + std::chrono::seconds(2));
    CHECK(available(registry) == 2);
    registry.update(endpoint("a")); // written again
    registry.removeExpired(Start + std::chrono::seconds(3));
    CHECK(available(registry) == 2);
    registry.replaceAll({endpoint("b")}, Start, Start + std::chrono::seconds(2));
    registry.removeExpired(Start + std::chrono::seconds(2));
    CHECK(available(registry) == 1);
}

TEST_CASE("EndpointRegistry.LeavingEndpointIsReportedOnce")
{
    int reports = 0;
    EndpointRegistry registry([&](const EndpointStatus &) { ++reports; });
    registry.update(endpoint("a"));
    DiscoveredEndpoint draining = endpoint("a");
    draining.draining = true;
    registry.update(draining);
    registry.update(draining);
    registry.remove(units::EndpointId("a"), Start, {});
    CHECK(reports == 1);
}

TEST_CASE("EndpointRegistry.RestartedEndpointStartsWithNewHealth")
{
    // The endpoint crashed and restarted under the same id. Its old failures must not count.
    EndpointRegistry registry;
    registry.update(endpoint("a", 1));
    const auto before = registry.available(units::PoolName("p"))[0];
    before->health.onFailure(Start);
    before->health.onFailure(Start);
    registry.update(endpoint("a", 2));
    const auto after = registry.available(units::PoolName("p"))[0];
    CHECK(before->leaving);
    CHECK_FALSE(before->health.accepts(Start));
    CHECK(after->health.accepts(Start));
}

// Guards against a rollout whose cost for each host is quadratic in the number of endpoints.
TEST_CASE("EndpointRegistry.CostOfOneChangeIsLogarithmicInTheNumberOfEndpoints")
{
    for (const int size : {600, 3000, 10000, 20000}) {
        EndpointRegistry registry;
        for (int i = 0; i < size; ++i)
            registry.update(endpoint("e" + std::to_string(i)));
        const std::uint64_t before = registry.work().value();
        registry.remove(units::EndpointId("e17"), Start, Start + std::chrono::seconds(1));
        registry.removeExpired(Start + std::chrono::seconds(2));
        registry.update(endpoint("e17", 2));
        CHECK(available(registry) == std::size_t(size));
        CHECK(double(registry.work().value() - before) < 4 * std::log2(size));
    }
}

TEST_CASE("EndpointRegistry.EndpointThatMovesToAnotherPoolLeavesTheFirst")
{
    EndpointRegistry registry;
    registry.update(endpoint("a"));
    DiscoveredEndpoint moved = endpoint("a");
    moved.pool = units::PoolName("q");
    registry.update(moved);
    CHECK(available(registry) == 0);
    CHECK(registry.available(units::PoolName("q")).size() == 1);
    CHECK(registry.findAvailable(units::EndpointId("a"))->registration.pool
          == units::PoolName("q"));
}
