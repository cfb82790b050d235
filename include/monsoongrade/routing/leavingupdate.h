#ifndef MONSOONGRADE_ROUTING_LEAVINGUPDATE_H
#define MONSOONGRADE_ROUTING_LEAVINGUPDATE_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// Gossip item about an endpoint that announced in a response that it is leaving.
struct LeavingUpdate
{
    EndpointInstance endpoint;
    units::Duration age{}; // since the request of the first such response was sent
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_LEAVINGUPDATE_H
