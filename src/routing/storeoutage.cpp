#include <monsoongrade/routing/storeoutage.h>

#include <algorithm>

namespace monsoongrade::routing {

bool wasFleetWideOutage(units::Duration away, const std::string &ownIp,
                        const std::vector<PeerUpdate> &hosts)
{
    return std::none_of(hosts.begin(), hosts.end(), [&](const PeerUpdate &host) {
        // The host's state may have changed since it was sent, so its age is not counted.
        return host.ip != ownIp && host.storeReachableFor > away + host.age;
    });
}

} // namespace monsoongrade::routing
