#ifndef MONSOONGRADE_ROUTING_STOREOUTAGE_H
#define MONSOONGRADE_ROUTING_STOREOUTAGE_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

// True if, as far as this host can tell, the store was unavailable to all hosts and not only to
// this one. In such an outage endpoint entries expire and come back within seconds, so missing ones
// are kept for a short time. If only this host was refused, the endpoints could reach the store: a
// missing entry means that the endpoint has left, and it must get no more requests. This is the
// case if another host has reached the store all that time.
bool wasFleetWideOutage(units::Duration away, const std::string &ownIp,
                        const std::vector<PeerUpdate> &hosts);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STOREOUTAGE_H
