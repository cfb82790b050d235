#ifndef MONSOONGRADE_ROUTING_RETRYAFTER_H
#define MONSOONGRADE_ROUTING_RETRYAFTER_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::routing {

// When a refused client should come back: after the time in which the reason usually passes,
// spread by the request's id so that clients refused by one fault do not return as one burst, and
// early enough that a third of its remaining time is not exceeded, because it would not wait so
// long.
units::Duration retryAfter(units::ResultCode reason, const units::RequestId &request,
                           units::Duration timeLeft);
// The same for a request refused because of a long queue, with the time in which it drains.
units::Duration retryAfter(units::Duration queueDrainsIn, const units::RequestId &request,
                           units::Duration timeLeft);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RETRYAFTER_H
