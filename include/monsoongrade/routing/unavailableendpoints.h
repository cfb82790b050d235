#ifndef MONSOONGRADE_ROUTING_UNAVAILABLEENDPOINTS_H
#define MONSOONGRADE_ROUTING_UNAVAILABLEENDPOINTS_H

#include <monsoongrade/units/ids.h>

namespace monsoongrade::routing {

// Why no endpoint of a pool can take a request now: the number of endpoints by the first reason
// that applies to each.
struct UnavailableEndpoints
{
    units::PoolName pool;
    units::Tier tier; // of the request
    int excluded = 0; // tried already, asked the host for a pause, leaving, or of another version
    int suspended = 0; // after failures
    int rateLimited = 0; // at the rate limit that the endpoint announced
    int withoutSlot = 0; // survive few rejections and may be full

    // Whether one of them will be able to take the request without any change of its state.
    bool isRoomExpected() const { return rateLimited > 0 || withoutSlot > 0; }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_UNAVAILABLEENDPOINTS_H
