#ifndef MONSOONGRADE_ROUTING_DISCOVEREDENDPOINT_H
#define MONSOONGRADE_ROUTING_DISCOVEREDENDPOINT_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>

namespace monsoongrade::routing {

// One start of an endpoint process, in milliseconds of the wall clock of its host. Only compared
// for equality: a restarted endpoint has forgotten what the one before it held.
using Incarnation = units::StrongNumber<struct IncarnationTag, std::int64_t>;

// An endpoint as it describes itself in the platform's store.
struct DiscoveredEndpoint
{
    units::EndpointId id;
    Incarnation incarnation;
    units::PoolName pool;
    std::string address; // IP:PORT; reused by other endpoints some seconds after this one ends
    units::FailureDomain failureDomain;
    int slots = 1; // requests that it works on at once
    bool draining = false;
    // Cheaper, and the platform may take it away at short notice.
    bool preemptible = false;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_DISCOVEREDENDPOINT_H
