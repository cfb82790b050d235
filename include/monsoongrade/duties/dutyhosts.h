#ifndef MONSOONGRADE_DUTIES_DUTYHOSTS_H
#define MONSOONGRADE_DUTIES_DUTYHOSTS_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::duties {

// IPs of the hosts that acquire the duty lease if it is free, in order of preference. Only a few,
// since each polls the lease in the store; from several failure domains where possible, so that one
// survives most outages.
std::vector<std::string> dutyCandidates(const std::vector<routing::PeerUpdate> &hosts);

// IPs of the hosts to which all hosts send their usage counts: the lease holder and all candidates
// to succeed it. Otherwise a successor would lack the counts of hosts that fail together with the
// holder.
std::vector<std::string> usageCollectors(const std::vector<routing::PeerUpdate> &hosts);

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_DUTYHOSTS_H
