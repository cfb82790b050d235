#ifndef MONSOONGRADE_ROUTING_STOREREADERS_H
#define MONSOONGRADE_ROUTING_STOREREADERS_H

#include <monsoongrade/routing/peertable.h>

#include <set>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// In fleets up to this size each host reads the platform's store itself: the calls are few, and an
// independent view of the store per host is worth more.
constexpr std::size_t MaxHostsReadingDirectly = 10;
// Number of hosts that read the store in a larger fleet. Independent of the fleet's size, so that
// the store's calls do not grow with it. For the loss of all of them at once see
// StoreSourceSelector.
constexpr std::size_t StoreReaderCount = 6;

// True if the host has run long enough for gossip to have reached all others.
bool isKnownFleetWide(const PeerUpdate &host);

// IPs of at most count hosts that read the platform's store for a large fleet and relay it, best
// first: one of each failure domain before a second of any, so that other hosts find one in their
// own. Within a domain, hosts known fleet-wide go first, then those with the most CPU. Leaving
// hosts and those in without are excluded; those that the store refuses come last. Whether a host
// is serving is ignored: in an outage hosts stop serving one by one, and the readers would change
// each time.
std::vector<std::string> storeReaders(const std::vector<PeerUpdate> &hosts, std::size_t count,
                                      const std::set<std::string> &without = {});

// The readers in the order in which this host calls them: those of its own failure domain first,
// rotated by its IP so that the load is spread evenly over the readers.
std::vector<std::string> readerOrder(const std::string &ownIp, std::vector<std::string> readers,
                                     const std::vector<PeerUpdate> &hosts);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STOREREADERS_H
