#ifndef MONSOONGRADE_ROUTING_RATELIMITUPDATE_H
#define MONSOONGRADE_ROUTING_RATELIMITUPDATE_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/units/clock.h>

#include <optional>

namespace monsoongrade::routing {

using RequestsPerSecond = double;

// What an endpoint announced in a response about the requests of all hosts together.
struct AnnouncedLimits
{
    std::optional<RequestsPerSecond> requests; // that it takes; empty: any number
    // Rejections for want of room that it survives; empty: any number.
    std::optional<RequestsPerSecond> rejections;

    bool hasAny() const { return requests || rejections; }
    bool operator==(const AnnouncedLimits &other) const
    {
        return requests == other.requests && rejections == other.rejections;
    }
    bool operator!=(const AnnouncedLimits &other) const { return !(*this == other); }
};

// Gossip item about the limits that an endpoint announced in a response.
struct RateLimitUpdate
{
    EndpointInstance endpoint;
    AnnouncedLimits limits;
    units::Duration age{}; // since the response
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RATELIMITUPDATE_H
