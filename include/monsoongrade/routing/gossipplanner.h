#ifndef MONSOONGRADE_ROUTING_GOSSIPPLANNER_H
#define MONSOONGRADE_ROUTING_GOSSIPPLANNER_H

#include <monsoongrade/routing/peerfailuredetector.h>
#include <monsoongrade/routing/peertable.h>

#include <random>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Chooses the recipients and the content of this host's messages in each gossip round. Neither the
// messages per round nor the hosts described in a message grow with the fleet.
//
// In a small fleet a message describes as many hosts as fit, and a host without recent updates
// counts as lost. In a large fleet hosts monitor each other, see PeerFailureDetector, and a message
// describes changes first.
class GossipPlanner
{
public:
    GossipPlanner(std::string ownIp, std::uint32_t seed);

    struct Round
    {
        std::vector<std::string> recipients;
        std::vector<PeerUpdate> updates;
        std::vector<std::string> probeTargets;
    };
    // Plans the round that starts now. Marks hosts that answered no probe as lost in the table.
    Round next(PeerTable &table, units::TimePoint now);
    // A message from the host itself has just arrived.
    void onHeartbeat(const std::string &ip, units::TimePoint now)
    {
        detector_.onHeartbeat(ip, now);
    }
    // Hosts to report to a host that has just started: the store readers, and some others.
    std::vector<PeerUpdate> updatesForJoiningHost(const PeerTable &table, units::TimePoint now);

private:
    std::vector<std::string> recipients(const PeerTable &table, units::TimePoint now);
    std::vector<PeerUpdate> updatesToSend(PeerTable &table, units::TimePoint now);
    std::vector<std::string> monitorPeers(PeerTable &table, units::TimePoint now);

    std::string ownIp_;
    PeerFailureDetector detector_;
    std::vector<std::string> watchers_; // hosts that monitor this one
    std::size_t silentCount_ = 0; // monitored hosts with missed heartbeats
    std::minstd_rand random_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_GOSSIPPLANNER_H
