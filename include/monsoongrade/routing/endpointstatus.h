#ifndef MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H
#define MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H

#include <monsoongrade/routing/admissionwindow.h>
#include <monsoongrade/routing/discoveredendpoint.h>
#include <monsoongrade/routing/endpointhealth.h>
#include <monsoongrade/routing/endpointratelimiter.h>

#include <optional>

namespace monsoongrade::routing {

// State that this host keeps for one endpoint. Shared by the requests that use it; it outlives its
// entry in the registry until the last of them ends.
struct EndpointStatus
{
    DiscoveredEndpoint registration;
    EndpointHealth health;
    EndpointRateLimiter rateLimiter; // for the requests that this host places
    AdmissionWindow admissionWindow; // for the same
    // Accepts no new requests: it is draining, was removed from the store, or another process has
    // its address.
    bool leaving = false;
    // Rejections for want of room that it survives, a second and from all hosts; empty if any
    // number. As of its latest known response; before the first one as presumed until then.
    std::optional<RequestsPerSecond> maxRejections;
    units::TimePoint maxRejectionsUntil = units::TimePoint::max();
    // When this host last received data from it.
    units::TimePoint lastReceivedAt{};

    // Whether it survives a limited number of rejections.
    bool isBrittle(units::TimePoint now) const { return maxRejections && now < maxRejectionsUntil; }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTSTATUS_H
