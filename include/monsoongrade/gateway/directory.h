#ifndef MONSOONGRADE_GATEWAY_DIRECTORY_H
#define MONSOONGRADE_GATEWAY_DIRECTORY_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::gateway {

// The hosts that a caller in the failure domain should use, at most maxHosts. live: the hosts other
// than this one. The hosts of the caller's own domain, because bytes between domains cost; if there
// are few of them, all hosts, so that a lost domain leaves callers others to try. Of too many, each
// domain has the same ones at every host that is asked: callers close connections to hosts that
// are missing from a new answer. Hosts that take requests; if none does, those that run and are
// not leaving, since one of them will be the first to take requests again.
std::vector<std::string> hostsForCallers(const routing::PeerUpdate &own,
                                         const std::vector<routing::PeerUpdate> &live,
                                         const units::FailureDomain &callersDomain,
                                         std::size_t maxHosts);

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_DIRECTORY_H
