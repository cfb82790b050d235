#ifndef MONSOONGRADE_ROUTING_STREAMHOMES_H
#define MONSOONGRADE_ROUTING_STREAMHOMES_H

#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/streamidentity.h>

#include <cstddef>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hosts that are told the version of each stream that begins elsewhere. Two may be lost at once.
constexpr std::size_t StreamHomes = 3;
// Hosts that are asked for it. More than are told, since the asking host may know hosts that were
// not there yet, or not know that some are gone.
constexpr std::size_t AskedStreamHomes = 5;

// IPs of the hosts that remember at which software version the stream began, besides the host that
// sent its first event: the first count by rendezvous hashing. Hosts with the same view of the
// fleet select the same ones, and the loss of a host moves no other. Hosts that are leaving or
// lost are not selected.
std::vector<std::string> streamHomes(const StreamIdentity &stream,
                                     const std::vector<PeerUpdate> &otherHosts, std::size_t count);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMHOMES_H
