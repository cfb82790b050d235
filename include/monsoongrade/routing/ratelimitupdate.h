#ifndef MONSOONGRADE_ROUTING_RATELIMITUPDATE_H
#define MONSOONGRADE_ROUTING_RATELIMITUPDATE_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/units/clock.h>

#include <optional>

namespace monsoongrade::routing {

using RequestsPerSecond = double;

// What hosts tell each other of the limits that endpoints name in their answers.
struct RateLimitUpdate
{
    EndpointInstance endpoint;
    // Taken from all hosts together; none: the endpoint answered without a limit.
    std::optional<RequestsPerSecond> limit;
    units::Duration age{}; // since the answer
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RATELIMITUPDATE_H
