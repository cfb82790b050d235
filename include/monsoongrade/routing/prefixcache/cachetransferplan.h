#ifndef MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERPLAN_H
#define MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERPLAN_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

namespace monsoongrade::routing::prefixcache {

// A copy of a cached prompt prefix to the endpoint that is chosen for a request.
struct CacheTransferPlan
{
    units::EndpointId source;
    units::Duration linkTime{}; // for which the copy occupies the source's link
    units::Duration duration{}; // until the copy is complete, with its wait for the link
};

} // namespace monsoongrade::routing::prefixcache

#endif // MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERPLAN_H
