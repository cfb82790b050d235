#ifndef MONSOONGRADE_ROUTING_TRAFFICPOOL_H
#define MONSOONGRADE_ROUTING_TRAFFICPOOL_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <optional>

namespace monsoongrade::routing {

// A pool of equivalent endpoints.
struct TrafficPool
{
    units::PoolName name;
    // Connections that an endpoint accepts from all hosts together.
    int maxConnections = 64;
    // The endpoints run a language model, with prefill and a prefix cache.
    bool runsModel = false;
    // Tokens per stream event. Known engines send 5 or 6.
    int tokensPerEvent = 5;
    // A route of the pool has streams that need short event gaps. Set by RouteTable.
    bool servesShortPauses = false;
    // Unset if the pool is not scaled by this service.
    std::optional<PoolScaling> scaling;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_TRAFFICPOOL_H
