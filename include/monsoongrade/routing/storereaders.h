#ifndef MONSOONGRADE_ROUTING_STOREREADERS_H
#define MONSOONGRADE_ROUTING_STOREREADERS_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

// IPs of the hosts that read the platform's store themselves and pass on what they read; empty if
// each host does. The store charges for each call, so in a large fleet a few read for all: four,
// or one in sixteen, of the serving hosts with most processor. The others fall back to the store
// when these fail, so nothing stops when all readers die at once.
std::vector<std::string> storeReaders(const std::vector<PeerNews> &hosts);

// The reader that this host asks: one in its own failure domain if there is one, spread by the
// host's own IP. Empty if this host reads the store itself.
std::string readerFor(const std::string &ownIp, const std::vector<PeerNews> &hosts);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STOREREADERS_H
