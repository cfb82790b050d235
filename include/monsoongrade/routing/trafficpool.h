#ifndef MONSOONGRADE_ROUTING_TRAFFICPOOL_H
#define MONSOONGRADE_ROUTING_TRAFFICPOOL_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <optional>

namespace monsoongrade::routing {

// Endpoints that do the same work.
struct TrafficPool
{
    units::PoolName name;
    // Connections that one endpoint takes from all hosts together.
    int maxConnections = 64;
    // The endpoints run a model: prompts are read, and their parts cached.
    bool runsModel = false;
    // Tokens in one event of a stream. The engines known make 5 or 6.
    int tokensPerEvent = 5;
    // Some route of the pool serves streams with short pauses. Set by RouteTable.
    bool servesShortPauses = false;
    // None if the number of its endpoints is not ours to change.
    std::optional<PoolScaling> scaling;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_TRAFFICPOOL_H
