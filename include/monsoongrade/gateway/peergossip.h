#ifndef MONSOONGRADE_GATEWAY_PEERGOSSIP_H
#define MONSOONGRADE_GATEWAY_PEERGOSSIP_H

#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/crashtracker.h>
#include <monsoongrade/routing/gossipplanner.h>
#include <monsoongrade/routing/ratelimittable.h>

#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace monsoongrade::gateway {

// Tells other hosts in datagrams that this one runs and what it knows of others, and hears the
// same from them. Each round goes to a bounded number of hosts, so the traffic of one host does
// not grow with their number. A host that is heard of for the first time gets an answer at once,
// so that a starting one knows others, and who reads the store, after one round trip.
// GossipPlanner decides whom a round goes to and what it tells.
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

    // crashes and limits are told to the other hosts, and crashes brought up to date with what
    // they tell.
    PeerGossip(asio::io_context &io, httpio::Timers &timers, Settings settings,
               routing::CrashTracker &crashes, routing::RateLimitTable &limits);

    void start();
    // What this host says of itself; a change is told at once.
    void setState(routing::PeerState state);
    // Whether the last call to the store, or to a host that passes it on, went well.
    void setStoreReachable(bool hasStore);
    // Whether the store turned this host away though others have it.
    void setStoreRefused(bool isRefused) { isStoreRefused_ = isRefused; }
    // Fencing token of the duties' lease that this host holds; 0 if it does not.
    void setDutyToken(std::uint64_t token) { dutyToken_ = token; }
    // Called with the time of day that another host's clock showed, since 1970.
    void onWallTime(std::function<void(const std::string &, units::Duration)> handler)
    {
        onWallTime_ = std::move(handler);
    }
    // Called with the limit of an endpoint that another host tells.
    void onLimit(std::function<void(const routing::RateLimitUpdate &)> handler)
    {
        onLimit_ = std::move(handler);
    }
    // Called after each round, with the hosts that are live.
    void onRound(std::function<void()> handler) { onRound_ = std::move(handler); }
    const routing::PeerTable &table() const { return table_; }
    std::vector<routing::PeerUpdate> live() const { return table_.live(timers_.now()); }
    // What this host says of itself now.
    routing::PeerUpdate own() const;

private:
    void receive();
    void round();
    void tell();
    void send(const std::string &ip, const std::string &datagram);
    std::string encode(const std::vector<routing::PeerUpdate> &others) const;
    std::string encodeProbe() const;
    std::string encodeNews(const std::vector<routing::CrashUpdate> &crashes,
                           const std::vector<routing::RateLimitUpdate> &limits) const;
    void decode(const std::string &datagram);
    void welcome(const std::string &newcomer);
    void noteWallTime(const std::string &host, units::Duration sinceEpoch);

    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 8192> buffer_{};
    httpio::Timers &timers_;
    Settings settings_;
    routing::PeerTable table_;
    routing::CrashTracker &crashes_;
    routing::RateLimitTable &limits_;
    routing::PeerState state_ = routing::PeerState::NotReady;
    std::function<void()> onRound_;
    std::function<void(const routing::RateLimitUpdate &)> onLimit_;
    std::function<void(const std::string &, units::Duration)> onWallTime_;
    units::TimePoint startedAt_;
    bool hasStore_ = false;
    bool isStoreRefused_ = false;
    std::uint64_t dutyToken_ = 0;
    units::TimePoint storeSince_{};
    routing::GossipPlanner rounds_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_PEERGOSSIP_H
