#ifndef MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERDEMAND_H
#define MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERDEMAND_H

#include <monsoongrade/routing/trafficpool.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::routing::prefixcache {

// A prompt prefix that a request needs on its endpoint, and what is gained by copying it.
struct CacheTransferDemand
{
    std::int64_t tokens = 0;
    CacheTransfer transfer; // of the pool
    double tokensPerMs = 0; // highest recent prefill rate of the pool
    units::Duration target{}; // time in which the first event of the request is due
};

} // namespace monsoongrade::routing::prefixcache

#endif // MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERDEMAND_H
