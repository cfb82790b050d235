#ifndef MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H
#define MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H

#include <monsoongrade/routing/discoveredendpoint.h>
#include <monsoongrade/routing/endpointhealth.h>

namespace monsoongrade::routing {

// What this host knows of one endpoint. Shared by the requests that use it; it outlives its entry
// in the roster until the last of them ends.
struct EndpointStatus
{
    DiscoveredEndpoint described;
    EndpointHealth health;
    // Takes no new request: it is leaving, gone from the store, or another process has its address.
    bool leaving = false;
    int openRequests = 0; // of this host
    // Prompt tokens of this host's requests that have no first event yet and are not cached there.
    std::int64_t tokensToRead = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H
