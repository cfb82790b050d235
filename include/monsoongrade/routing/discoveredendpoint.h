#ifndef MONSOONGRADE_ROUTING_DISCOVEREDENDPOINT_H
#define MONSOONGRADE_ROUTING_DISCOVEREDENDPOINT_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>

namespace monsoongrade::routing {

// Identifies one run of an endpoint process by its start time, in milliseconds of its host's wall
// clock. Compared only for equality: a restarted process has lost the state of the previous one.
using Incarnation = units::StrongNumber<struct IncarnationTag, std::int64_t>;

// An endpoint's own entry in the platform's store.
struct DiscoveredEndpoint
{
    units::EndpointId id;
    Incarnation incarnation;
    units::PoolName pool;
    units::SoftwareVersion softwareVersion; // empty if the entry has none
    std::string address; // IP:PORT; may be reused by another endpoint seconds after this one ends
    units::FailureDomain failureDomain;
    int slots = 1; // maximum number of concurrent requests
    bool draining = false;
    // Runs on cheaper capacity that the platform may reclaim at short notice.
    bool preemptible = false;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_DISCOVEREDENDPOINT_H
