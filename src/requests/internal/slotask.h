#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_SLOTASK_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_SLOTASK_H

#include <monsoongrade/requests/classifiedrequest.h>
#include <monsoongrade/scheduling/slotask.h>

namespace monsoongrade::requests::internal {

// The request's ask for a slot, as one that has not waited and avoids no endpoint.
scheduling::SlotAsk slotAsk(const ClassifiedRequest &request, const units::DaemonId &router);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_SLOTASK_H
