#include <monsoongrade/routing/storeoutage.h>

#include <algorithm>

namespace monsoongrade::routing {

bool wasFleetWideOutage(units::Duration away, const std::string &ownIp,
                        const std::vector<PeerUpdate> &hosts)
{
    return std::none_of(hosts.begin(), hosts.end(), [&](const PeerUpdate &host) {
        // What the host said some time ago may have ended since, which its age leaves out.
        return host.ip != ownIp && host.storeReachableFor > away + host.age;
    });
}

} // namespace monsoongrade::routing
