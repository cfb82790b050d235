#ifndef MONSOONGRADE_SCHEDULING_OWNSHARE_H
#define MONSOONGRADE_SCHEDULING_OWNSHARE_H

#include <monsoongrade/scheduling/cellpolicy.h>

#include <cstddef>
#include <vector>

namespace monsoongrade::scheduling {

// One router's share of the endpoints' slots, with endpoints of no slot left out. Rank is the
// router's place among all routers, 0 to routers - 1. What division leaves over goes to other
// routers at every endpoint. A share of nothing becomes one slot on one endpoint.
std::vector<EndpointPolicy> ownShare(const std::vector<EndpointPolicy> &endpoints, std::size_t rank,
                                     std::size_t routers);

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_OWNSHARE_H
