#ifndef MONSOONGRADE_ROUTING_PEERFAILUREDETECTOR_H
#define MONSOONGRADE_ROUTING_PEERFAILUREDETECTOR_H

#include <monsoongrade/units/clock.h>

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hosts around this one in the order of a hash of their IPs, which closes to a ring.
struct RingNeighbours
{
    std::vector<std::string> watchers; // those that come next; they watch this host
    std::vector<std::string> watched; // those before it; this host watches them
};

// live: IPs of the other hosts that run. Finds at most so many neighbours on each side.
RingNeighbours ringNeighbours(const std::string &ownIp, const std::vector<std::string> &live,
                              std::size_t maxWatchers, std::size_t maxWatched);

// Tells which of the hosts that this one watches are lost. In a large fleet news of most hosts
// comes through others and is seconds old, so that its age says nothing about a host; here a few
// hosts expect each host's heartbeats, and declare it lost when they stop.
class PeerFailureDetector
{
public:
    struct Judgement
    {
        std::vector<std::string> probeTargets; // have missed heartbeats
        std::vector<std::string> lost; // have not answered probes either
    };

    // A message of the host itself arrived just now.
    void onHeartbeat(const std::string &ip, units::TimePoint now);
    // Called each round. The time of a host begins when it is first watched, and that of all begins
    // anew if this process has been suspended.
    Judgement judge(const std::vector<std::string> &watched, units::TimePoint now);

private:
    std::map<std::string, units::TimePoint> lastHeartbeatAt_; // of watched hosts, or when it began
    units::TimePoint lastJudgedAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PEERFAILUREDETECTOR_H
