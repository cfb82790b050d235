#ifndef MONSOONGRADE_TESTS_ROUTING_PLACERFIXTURE_H
#define MONSOONGRADE_TESTS_ROUTING_PLACERFIXTURE_H

#include <monsoongrade/routing/requestplacer.h>

namespace monsoongrade::routing {

inline constexpr units::TimePoint TestStart = units::TimePoint(std::chrono::hours(1));
inline const units::PoolName TestPool("p");

// A RequestPlacer with some endpoints of one pool, in every second failure domain.
struct PlacerFixture
{
    explicit PlacerFixture(int endpoints, int slots = 128)
    {
        for (int i = 0; i < endpoints; ++i) {
            DiscoveredEndpoint endpoint;
            endpoint.id = units::EndpointId("e" + std::to_string(i));
            endpoint.pool = TestPool;
            endpoint.address = "10.0.0.1:80";
            endpoint.failureDomain = units::FailureDomain(i % 2 == 0 ? "even" : "odd");
            endpoint.slots = slots;
            registry.update(endpoint);
        }
    }

    PlacementChoice place(const PlacementQuery &query)
    {
        return placer.place({"host", ++last}, query, registry.available(TestPool), now);
    }
    PlacementTicket lastTicket() const { return {"host", last}; }

    EndpointRegistry registry;
    RequestPlacer placer;
    units::TimePoint now = TestStart;
    std::uint64_t last = 0;
};

inline PlacementQuery modelQuery(const std::string &part, std::int64_t shared, std::int64_t own)
{
    PlacementQuery query;
    query.pool = TestPool;
    query.runsModel = true;
    query.sharedPart = part;
    query.promptTokens = shared + own;
    query.ownTokens = own;
    query.targetIn = std::chrono::seconds(1);
    query.expiresIn = std::chrono::seconds(8);
    return query;
}

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_PLACERFIXTURE_H
