#ifndef MONSOONGRADE_ROUTING_STOREOUTAGE_H
#define MONSOONGRADE_ROUTING_STOREOUTAGE_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

// True if the store was away for all hosts, as far as this one can tell, and not only for this one.
// Endpoints' entries lapse while the store is away and come back within seconds, so that missing
// ones are kept for a moment. If only this host was turned away, the store was there for the
// endpoints: a missing entry means that the endpoint left, and it must get no more requests.
// Another host that had the store all that time shows it.
bool wasFleetWideOutage(units::Duration away, const std::string &ownIp,
                        const std::vector<PeerUpdate> &hosts);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STOREOUTAGE_H
