#ifndef MONSOONGRADE_ROUTING_CRASHUPDATE_H
#define MONSOONGRADE_ROUTING_CRASHUPDATE_H

#include <monsoongrade/routing/endpointinstance.h>
#include <monsoongrade/routing/requestidentity.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::routing {

// What hosts tell each other of a request under which an endpoint crashed.
struct CrashUpdate
{
    enum class Kind : std::uint8_t {
        Crashed, // the endpoint crashed while it ran the request
        Completed, // the request was answered whole, so it is not what crashes endpoints
        EndpointAnswered, // the endpoint answered something sent later, so it had not crashed
    };

    Kind kind = Kind::Crashed;
    RequestIdentity request; // not of EndpointAnswered
    EndpointInstance endpoint; // not of Completed
    units::Duration age{}; // since it happened; of EndpointAnswered: since it was sent
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CRASHUPDATE_H
