#ifndef MONSOONGRADE_ROUTING_QUEUEING_RETRYAFTER_H
#define MONSOONGRADE_ROUTING_QUEUEING_RETRYAFTER_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::routing::queueing {

// When a refused client should retry: after the time in which the reason usually passes, with
// jitter by the request id so that clients refused by one fault do not return as one burst, and at
// most a third of its remaining time, because it would not wait longer.
units::Duration retryAfter(units::ResultCode reason, const units::RequestId &request,
                           units::Duration timeLeft);
// The same for a request refused because of a long queue, which drains in the given time.
units::Duration retryAfter(units::Duration queueDrainsIn, const units::RequestId &request,
                           units::Duration timeLeft);

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_RETRYAFTER_H
