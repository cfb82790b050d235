#ifndef MONSOONGRADE_ROUTING_PLACINGHOSTS_H
#define MONSOONGRADE_ROUTING_PLACINGHOSTS_H

#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/units/workcount.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

// IPs of the hosts that may place requests for all, best first: the serving hosts with most
// processor, of those the ones that have run longest, and among those of about the same age the
// order of a hash. Placing 680 requests a second takes about a tenth of a core, all that the
// smallest hosts have. All hosts that know the same
// hosts get the same order without asking anybody. A restarted host goes to the end, since it knows
// nothing of what is cached where; the second and third learn it from the first, and take over.
// work counts the comparisons of hosts.
std::vector<std::string> rankCoordinators(const std::vector<PeerUpdate> &hosts,
                                          units::WorkCount &work);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PLACINGHOSTS_H
