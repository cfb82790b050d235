#ifndef MONSOONGRADE_ROUTING_REVISION_H
#define MONSOONGRADE_ROUTING_REVISION_H

#include <monsoongrade/units/strongnumber.h>

#include <cstdint>

namespace monsoongrade::routing {

// Number that the platform's store assigns to each change, in increasing order.
using Revision = units::StrongNumber<struct RevisionTag, std::uint64_t>;

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_REVISION_H
