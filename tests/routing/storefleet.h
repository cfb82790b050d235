#ifndef MONSOONGRADE_TESTS_ROUTING_STOREFLEET_H
#define MONSOONGRADE_TESTS_ROUTING_STOREFLEET_H

#include <monsoongrade/routing/peertable.h>

#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hosts 10.0.0.0, 10.0.0.1 and so on in five failure domains, every fourth with more CPU, that have
// run for a minute and reach the store.
inline std::vector<PeerUpdate> storeFleet(int hosts)
{
    std::vector<PeerUpdate> result;
    for (int i = 0; i < hosts; ++i) {
        PeerUpdate host;
        host.ip = "10.0.0." + std::to_string(i);
        host.failureDomain = units::FailureDomain("z" + std::to_string(i % 5));
        host.state = PeerState::Serving;
        host.millicores = i % 4 == 0 ? 500 : 120;
        host.uptime = std::chrono::minutes(1);
        host.storeReachableFor = std::chrono::minutes(1);
        result.push_back(host);
    }
    return result;
}

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_STOREFLEET_H
