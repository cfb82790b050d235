#ifndef MONSOONGRADE_ROUTING_PLACINGHOSTS_H
#define MONSOONGRADE_ROUTING_PLACINGHOSTS_H

#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/units/workcount.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

// IPs of the hosts that may be placement coordinator, in order of preference: the serving hosts
// with the most CPU, then the longest uptime, and among similar uptimes by hash. Placing 680
// requests a second takes about a tenth of a core, all that the smallest hosts have. Hosts with the
// same view of the fleet compute the same order without communication. A restarted host ranks
// last, since it does not know what is cached where; the second and third receive it from the first
// and can take over. work counts the comparisons of hosts.
std::vector<std::string> rankCoordinators(const std::vector<PeerUpdate> &hosts,
                                          units::WorkCount &work);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PLACINGHOSTS_H
