#ifndef MONSOONGRADE_ROUTING_TRAFFICPOOL_H
#define MONSOONGRADE_ROUTING_TRAFFICPOOL_H

#include <monsoongrade/routing/poolscaling.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <optional>

namespace monsoongrade::routing {

// Copying of cached prompt parts between endpoints of a pool.
struct CacheTransfer
{
    std::int64_t bytesPerToken = 0;
    double megabitsPerSecond = 0; // of one endpoint's link; transfers run one after another
};

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
    // Unset if the endpoints can't copy cached parts.
    std::optional<CacheTransfer> cacheTransfer;
    // A route of the pool has streams that need short event gaps. Set by RouteTable.
    bool servesShortPauses = false;
    // Unset if the pool is not scaled by this service.
    std::optional<PoolScaling> scaling;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_TRAFFICPOOL_H
