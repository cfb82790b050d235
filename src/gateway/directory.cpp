#include <monsoongrade/gateway/directory.h>

#include <algorithm>

namespace monsoongrade::gateway {

std::vector<std::string> hostsForCallers(const std::string &ownIp, routing::PeerState ownState,
                                         const std::vector<routing::PeerNews> &live,
                                         std::size_t maxHosts)
{
    for (const routing::PeerState wanted :
         {routing::PeerState::Serving, routing::PeerState::Waiting}) {
        std::vector<std::string> found;
        if (ownState == wanted)
            found.push_back(ownIp);
        for (const routing::PeerNews &peer : live) {
            if (peer.state == wanted)
                found.push_back(peer.ip);
        }
        if (!found.empty()) {
            found.resize(std::min(found.size(), maxHosts));
            return found;
        }
    }
    // All are leaving; this one still takes requests for a moment.
    return {ownIp};
}

} // namespace monsoongrade::gateway
