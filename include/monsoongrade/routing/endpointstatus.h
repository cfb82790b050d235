#ifndef MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H
#define MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H

#include <monsoongrade/routing/discoveredendpoint.h>
#include <monsoongrade/routing/endpointhealth.h>
#include <monsoongrade/routing/endpointratelimiter.h>

namespace monsoongrade::routing {

// What this host knows of one endpoint. Shared by the requests that use it; it outlives its entry
// in the registry until the last of them ends.
struct EndpointStatus
{
    DiscoveredEndpoint registration;
    EndpointHealth health;
    EndpointRateLimiter rateLimiter; // of what this host places there
    // Takes no new request: it is leaving, gone from the store, or another process has its address.
    bool leaving = false;
    // When this host last received anything from it.
    units::TimePoint lastReceivedAt{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H
