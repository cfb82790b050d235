#ifndef MONSOONGRADE_GATEWAY_PEERGOSSIP_H
#define MONSOONGRADE_GATEWAY_PEERGOSSIP_H

#include <monsoongrade/gateway/datagramsocket.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/crashtracker.h>
#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/gossipplanner.h>

#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace monsoongrade::gateway {

// Exchanges membership and other shared state with the other hosts in UDP datagrams. Each round
// sends to a bounded number of hosts, so the traffic of a host does not grow with the fleet. A host
// that was not known to be live gets a reply at once, so that a starting host knows others, and
// which hosts read the store, after one round trip. GossipPlanner selects the recipients and the
// content of each round.
class PeerGossip
{
public:
    struct Settings
    {
        std::string ownIp;
        units::FailureDomain ownFailureDomain;
        int ownMillicores = 0;
        std::uint16_t port = 0; // the same on all hosts
        std::vector<std::string> seedIps;
    };

    // crashes and announcements are sent to the other hosts; crashes received from them are merged
    // into crashes.
    PeerGossip(asio::io_context &io, httpio::Timers &timers, Settings settings,
               routing::CrashTracker &crashes, routing::EndpointAnnouncements &announcements);

    void start();
    // Sets this host's own state and sends a change immediately.
    void setState(routing::PeerState state);
    // Whether the last call to the store, direct or through another host, succeeded.
    void setStoreReachable(bool isReachable);
    // Whether the store rejects this host while other hosts can access it.
    void setStoreRefused(bool isRefused) { isStoreRefused_ = isRefused; }
    // Pools to whose endpoints this host can open no connection.
    void setUnreachablePools(std::vector<units::PoolName> pools)
    {
        unreachablePools_ = std::move(pools);
    }
    // Fencing token of the duty lease if this host holds it, otherwise 0.
    void setDutyToken(std::uint64_t token) { dutyToken_ = token; }
    // The handler is called with the IP of another host and the time since 1970 on its clock.
    void onWallTime(std::function<void(const std::string &, units::Duration)> handler)
    {
        onWallTime_ = std::move(handler);
    }
    // The handler is called with each endpoint limit received from another host.
    void onLimit(std::function<void(const routing::RateLimitUpdate &)> handler)
    {
        onLimit_ = std::move(handler);
    }
    // The handler is called with each endpoint that has announced its leaving to another host.
    void onLeaving(std::function<void(const routing::LeavingUpdate &)> handler)
    {
        onLeaving_ = std::move(handler);
    }
    // The handler is called after each round.
    void onRound(std::function<void()> handler) { onRound_ = std::move(handler); }
    const routing::PeerTable &table() const { return table_; }
    std::vector<routing::PeerUpdate> live() const { return table_.live(timers_.now()); }
    // Returns this host's current description of itself.
    routing::PeerUpdate own() const;

private:
    // What hosts have learned about requests and endpoints.
    struct Updates
    {
        std::vector<routing::CrashUpdate> crashes;
        std::vector<routing::LeavingUpdate> leaving;
        std::vector<routing::RateLimitUpdate> limits;
    };

    void round();
    void sendRound();
    std::string encode(const std::vector<routing::PeerUpdate> &others) const;
    std::string encodeProbe() const;
    std::string encode(const Updates &updates) const;
    // Appends a datagram with these updates, if there are any.
    void append(std::vector<std::string> &datagrams, const Updates &updates) const;
    void onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender);
    void sendInitialState(const std::string &joiningHost);
    void reportWallTime(const std::string &host, units::Duration sinceEpoch);

    DatagramSocket socket_;
    httpio::Timers &timers_;
    Settings settings_;
    routing::PeerTable table_;
    routing::CrashTracker &crashes_;
    routing::EndpointAnnouncements &announcements_;
    routing::PeerState state_ = routing::PeerState::NotReady;
    std::function<void()> onRound_;
    std::function<void(const routing::RateLimitUpdate &)> onLimit_;
    std::function<void(const routing::LeavingUpdate &)> onLeaving_;
    std::function<void(const std::string &, units::Duration)> onWallTime_;
    units::TimePoint startedAt_;
    bool isStoreReachable_ = false;
    bool isStoreRefused_ = false;
    std::uint64_t dutyToken_ = 0;
    std::vector<units::PoolName> unreachablePools_;
    units::TimePoint storeReachableSince_{};
    routing::GossipPlanner planner_;
    std::minstd_rand random_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_PEERGOSSIP_H
