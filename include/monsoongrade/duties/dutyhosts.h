#ifndef MONSOONGRADE_DUTIES_DUTYHOSTS_H
#define MONSOONGRADE_DUTIES_DUTYHOSTS_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::duties {

// IPs of the hosts that take the duties' lease if it is free, best first. A few, since each reads
// the lease in the store; more than one failure domain's, so that one is left in most troubles.
std::vector<std::string> dutyCandidates(const std::vector<routing::PeerUpdate> &hosts);

// IPs of the hosts to which all hosts tell what they count: the holder and all that may succeed it.
// A successor that was not told would lack the counts of hosts that are lost with the holder.
std::vector<std::string> usageCollectors(const std::vector<routing::PeerUpdate> &hosts);

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_DUTYHOSTS_H
