#ifndef MONSOONGRADE_TESTS_ROUTING_DESKWORLD_H
#define MONSOONGRADE_TESTS_ROUTING_DESKWORLD_H

#include <monsoongrade/routing/requestplacer.h>

namespace monsoongrade::routing {

inline constexpr units::TimePoint DeskStart = units::TimePoint(std::chrono::hours(1));
inline const units::PoolName DeskPool("p");

// A RequestPlacer with some endpoints of one pool, in every second failure domain.
struct DeskWorld
{
    explicit DeskWorld(int endpoints, int slots = 128)
    {
        for (int i = 0; i < endpoints; ++i) {
            DiscoveredEndpoint endpoint;
            endpoint.id = units::EndpointId("e" + std::to_string(i));
            endpoint.pool = DeskPool;
            endpoint.address = "10.0.0.1:80";
            endpoint.failureDomain = units::FailureDomain(i % 2 == 0 ? "even" : "odd");
            endpoint.slots = slots;
            registry.update(endpoint);
        }
    }

    PlacementChoice place(const PlacementQuery &query)
    {
        return desk.place({"host", ++last}, query, registry.available(DeskPool), now);
    }
    PlacementTicket lastTicket() const { return {"host", last}; }

    EndpointRegistry registry;
    RequestPlacer desk;
    units::TimePoint now = DeskStart;
    std::uint64_t last = 0;
};

inline PlacementQuery modelQuery(const std::string &part, std::int64_t shared, std::int64_t own)
{
    PlacementQuery query;
    query.pool = DeskPool;
    query.runsModel = true;
    query.sharedPart = part;
    query.promptTokens = shared + own;
    query.ownTokens = own;
    query.targetIn = std::chrono::seconds(1);
    query.expiresIn = std::chrono::seconds(8);
    return query;
}

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_DESKWORLD_H
