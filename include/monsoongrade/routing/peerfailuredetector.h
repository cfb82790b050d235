#ifndef MONSOONGRADE_ROUTING_PEERFAILUREDETECTOR_H
#define MONSOONGRADE_ROUTING_PEERFAILUREDETECTOR_H

#include <monsoongrade/units/clock.h>

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hosts next to this one on a ring ordered by a hash of their IPs.
struct RingNeighbours
{
    std::vector<std::string> watchers; // the next ones; they monitor this host
    std::vector<std::string> watched; // the previous ones; this host monitors them
};

// live: IPs of the other running hosts. Finds the nearest ones in both directions.
RingNeighbours ringNeighbours(const std::string &ownIp, const std::vector<std::string> &live,
                              std::size_t maxWatchers, std::size_t maxWatched);

// Detects which of the hosts that this one monitors are lost. In a large fleet, updates of most
// hosts come through others and are seconds old, so their age says nothing about a host. Instead, a
// few hosts expect the heartbeats of each host and declare it lost when they stop.
class PeerFailureDetector
{
public:
    struct Result
    {
        std::vector<std::string> probeTargets; // hosts with missed heartbeats
        std::vector<std::string> lost; // hosts that did not answer probes either
    };

    // A message from the host itself has just arrived.
    void onHeartbeat(const std::string &ip, units::TimePoint now);
    // Called in each round. The timeout of a host starts when it is first monitored; all timeouts
    // restart if this process was suspended.
    Result check(const std::vector<std::string> &watched, units::TimePoint now);

private:
    std::map<std::string, units::TimePoint> lastHeartbeatAt_; // or the start of monitoring
    units::TimePoint lastCheckAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PEERFAILUREDETECTOR_H
