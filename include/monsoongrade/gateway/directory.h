#ifndef MONSOONGRADE_GATEWAY_DIRECTORY_H
#define MONSOONGRADE_GATEWAY_DIRECTORY_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::gateway {

// The hosts that a caller should use, this one included: all that take requests, at most
// maxHosts. If none does, those that run and are not leaving, since one of them will be the first
// to take requests again.
std::vector<std::string> hostsForCallers(const std::string &ownIp, routing::PeerState ownState,
                                         const std::vector<routing::PeerNews> &live,
                                         std::size_t maxHosts);

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_DIRECTORY_H
