#ifndef MONSOONGRADE_ROUTING_GOSSIPPLANNER_H
#define MONSOONGRADE_ROUTING_GOSSIPPLANNER_H

#include <monsoongrade/routing/peerfailuredetector.h>
#include <monsoongrade/routing/peertable.h>

#include <random>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Decides whom this host tells what in each round of gossip. Messages per round and hosts described
// in one do not grow with the fleet.
//
// In a small fleet a message tells of as many hosts as it holds, and a host whose news grow old
// counts as lost. In a large one the hosts watch each other, see PeerFailureDetector, and a message
// tells of changes first.
class GossipPlanner
{
public:
    GossipPlanner(std::string ownIp, std::uint32_t seed);

    struct Round
    {
        std::vector<std::string> recipients;
        std::vector<PeerUpdate> news;
        std::vector<std::string> probeTargets;
    };
    // What to send now. Hosts that have answered no probe are noted as lost in the table.
    Round next(PeerTable &table, units::TimePoint now);
    // A message of the host itself arrived just now.
    void onHeartbeat(const std::string &ip, units::TimePoint now) { watch_.onHeartbeat(ip, now); }
    // What a host is told that has just started: who reads the store for others, and some hosts.
    std::vector<PeerUpdate> newsForJoiningHost(const PeerTable &table, units::TimePoint now);

private:
    std::vector<std::string> recipients(const PeerTable &table, units::TimePoint now);
    std::vector<PeerUpdate> news(PeerTable &table, units::TimePoint now);
    std::vector<std::string> watch(PeerTable &table, units::TimePoint now);

    std::string ownIp_;
    PeerFailureDetector watch_;
    std::vector<std::string> watchers_; // of this host
    std::size_t silent_ = 0; // watched hosts whose heartbeats are missed
    std::minstd_rand random_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_GOSSIPPLANNER_H
