#ifndef MONSOONGRADE_ROUTING_RATELIMITUPDATE_H
#define MONSOONGRADE_ROUTING_RATELIMITUPDATE_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/units/clock.h>

#include <optional>

namespace monsoongrade::routing {

using RequestsPerSecond = double;

// Gossip item about the rate limit that an endpoint announced in a response.
struct RateLimitUpdate
{
    EndpointInstance endpoint;
    // For the requests of all hosts together; empty if the response announced no limit.
    std::optional<RequestsPerSecond> limit;
    units::Duration age{}; // since the response
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RATELIMITUPDATE_H
