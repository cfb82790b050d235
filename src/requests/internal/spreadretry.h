#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_SPREADRETRY_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_SPREADRETRY_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

namespace monsoongrade::requests::internal {

// When to come back from a refusal that no scheduler has planned: between the shortest time and
// four times that, by the request's id. One fault (a crashed endpoint, a full router, an outage of
// the store) refuses many callers at the same moment; told the same time, they return as a second
// burst.
units::Duration spreadRetry(units::Duration shortest, const units::RequestId &request);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_SPREADRETRY_H
