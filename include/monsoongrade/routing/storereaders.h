#ifndef MONSOONGRADE_ROUTING_STOREREADERS_H
#define MONSOONGRADE_ROUTING_STOREREADERS_H

#include <monsoongrade/routing/peertable.h>

#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// In fleets up to this size each host reads the platform's store itself: their calls are few, and
// each host's own view of the store is worth more.
constexpr std::size_t MaxHostsReadingDirectly = 10;
// Hosts that read the store for a larger fleet. The number is the same for every size of fleet, so
// that the store's calls do not grow with it; all of them may be lost at once, see
// StoreSourceSelector.
constexpr std::size_t StoreReaderCount = 6;

// True if the host has run long enough for all others to know of it.
bool isKnownFleetWide(const PeerUpdate &host);

// IPs of the hosts that read the platform's store for a large fleet and pass on what they read, at
// most so many, best first: one of each failure domain before a second of any, so that the others
// find one in their own. Within a domain those that have run for a while go first, then those with
// most processor. Hosts that are leaving or stand in without are left out; those that the store
// refuses come last. Whether a host serves plays no part: in an outage all stop to, one by one, and
// the readers would change each time.
std::vector<std::string> storeReaders(const std::vector<PeerUpdate> &hosts, std::size_t count,
                                      const std::set<std::string> &without = {});

// The same hosts in the order in which this one asks them: those of its own failure domain first,
// spread by its own IP so that each reader has about as many askers.
std::vector<std::string> readerOrder(const std::string &ownIp, std::vector<std::string> readers,
                                     const std::vector<PeerUpdate> &hosts);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STOREREADERS_H
