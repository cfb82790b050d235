#ifndef MONSOONGRADE_SLOTS_OWNSHARE_H
#define MONSOONGRADE_SLOTS_OWNSHARE_H

#include <monsoongrade/scheduling/cellpolicy.h>

#include <cstddef>
#include <vector>

namespace monsoongrade::slots {

// One router's share of the endpoints' slots, with endpoints of no slot left out. Rank is the
// router's place among all routers, 0 to routers - 1. What division leaves over goes to other
// routers at every endpoint. A share of nothing becomes one slot on one endpoint.
std::vector<scheduling::EndpointPolicy>
ownShare(const std::vector<scheduling::EndpointPolicy> &endpoints, std::size_t rank,
         std::size_t routers);

} // namespace monsoongrade::slots

#endif // MONSOONGRADE_SLOTS_OWNSHARE_H
