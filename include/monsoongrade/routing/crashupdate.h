#ifndef MONSOONGRADE_ROUTING_CRASHUPDATE_H
#define MONSOONGRADE_ROUTING_CRASHUPDATE_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/routing/requestidentity.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::routing {

// Gossip item about a request, or a part of its prompt, that was running when an endpoint crashed.
struct CrashUpdate
{
    enum class Kind : std::uint8_t {
        Crashed, // the endpoint crashed while running the request
        Completed, // the request received a complete response, so it does not crash endpoints
        // Crashes of the endpoint before this time count against no request: it answered a later
        // one, or it crashed because it had to reject too many.
        EndpointCleared,
    };

    Kind kind = Kind::Crashed;
    RequestIdentity request; // unset for EndpointCleared
    int partPosition = 0; // of a prompt part, counted from 1; 0 for a whole request
    EndpointInstance endpoint; // unset for Completed
    units::Duration age{}; // since the event; for EndpointCleared, since that time
    bool isOfBrittle = false; // the endpoint is known to survive only so many rejections
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CRASHUPDATE_H
