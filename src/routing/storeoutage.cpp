#include <monsoongrade/routing/storeoutage.h>

#include <algorithm>

namespace monsoongrade::routing {

bool wasAwayForAll(units::Duration away, const std::string &ownIp,
                   const std::vector<PeerNews> &hosts)
{
    return std::none_of(hosts.begin(), hosts.end(), [&](const PeerNews &host) {
        // What the host said some time ago may have ended since, which its age leaves out.
        return host.ip != ownIp && host.storeFor > away + host.age;
    });
}

} // namespace monsoongrade::routing
