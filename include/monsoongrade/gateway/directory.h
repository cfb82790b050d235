#ifndef MONSOONGRADE_GATEWAY_DIRECTORY_H
#define MONSOONGRADE_GATEWAY_DIRECTORY_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::gateway {

// Returns at most maxHosts addresses that a caller in the given failure domain should use. live
// contains the live hosts other than this one.
//
// Prefers serving hosts; if none is serving, returns those that are not ready yet, one of which
// will be the first to serve. Prefers hosts in the caller's own domain, because traffic between
// domains has a cost; if that domain has few hosts, returns hosts of all domains, so that callers
// have alternatives when a domain is lost. Every host cuts a list longer than maxHosts to the same
// subset for a domain, because callers close connections to hosts missing from a new answer.
std::vector<std::string> hostsForCallers(const routing::PeerUpdate &own,
                                         const std::vector<routing::PeerUpdate> &live,
                                         const units::FailureDomain &callersDomain,
                                         std::size_t maxHosts);

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_DIRECTORY_H
