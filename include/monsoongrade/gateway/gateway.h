#ifndef MONSOONGRADE_GATEWAY_GATEWAY_H
#define MONSOONGRADE_GATEWAY_GATEWAY_H

#include <monsoongrade/gateway/gatewaysettings.h>
#include <monsoongrade/gateway/gatewaystate.h>
#include <monsoongrade/gateway/peergossip.h>
#include <monsoongrade/httpio/server.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/units/workcount.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::gateway {

// The gateway of one host: serves callers according to the configuration and endpoints passed to
// it, and exchanges state with the other hosts. Independent of the platform's formats.
class Gateway
{
public:
    using PageHandler = std::function<void(const Gateway &, const httpio::ServerRequest &,
                                           httpio::ResponseWriter &)>;
    struct PageHandlers
    {
        PageHandler readiness;
        PageHandler directory;
    };

    Gateway(asio::io_context &io, httpio::Timers &timers, const GatewaySettings &settings,
            const HeaderCodec &headerCodec, PageHandlers pages);

    // Opens the listening sockets and starts gossip with the other hosts.
    void start();

    // Applies the configuration if its revision is newer than the one in force.
    void applyConfiguration(routing::TrafficConfiguration configuration);
    // Confirms that no configuration accepted before this time is missing here.
    void markConfigurationCurrent(units::TimePoint asOf);
    void replaceEndpoints(const std::vector<routing::DiscoveredEndpoint> &endpoints,
                          units::TimePoint keepMissingUntil);
    void updateEndpoint(const routing::DiscoveredEndpoint &endpoint);
    void removeEndpoint(const units::EndpointId &id, units::TimePoint keepMissingUntil);
    // Sets the division of the fleet into cells, as received from a host that lists all endpoints.
    // nullopt: this host lists all endpoints and computes the division itself.
    void setDivision(const std::optional<routing::FleetDivision> &received);
    const routing::FleetDivision &division() const { return state_.registry.division(); }

    // Whether the platform's store responds to this host.
    void setStoreReachable(bool isReachable) { gossip_.setStoreReachable(isReachable); }
    // Whether the store rejects this host while other hosts can access it.
    void setStoreRefused(bool isRefused) { gossip_.setStoreRefused(isRefused); }
    // Fencing token of the duty lease if this host holds it, otherwise 0.
    void setDutyToken(std::uint64_t token) { gossip_.setDutyToken(token); }
    // True if a fresh configuration is in force and the host is not leaving.
    bool isServing() const;
    // True if the host serves and has room for more connections of callers. Other hosts still list
    // a full host for callers: these close their connections to hosts that are no longer listed, so
    // all of them would move at once and fill the next host.
    bool isReady() const;
    // Returns the IP:PORT addresses that callers should use now.
    std::vector<std::string> callerAddresses(const units::FailureDomain &callersDomain,
                                             std::size_t maxAddresses) const;
    // Starts a planned stop; calls stopped when the process may exit.
    void stop(std::function<void()> stopped);
    // Applies the settings that may change at run time.
    void reload(const GatewaySettings &settings);

    GatewayState &state() { return state_; }
    const GatewaySettings &settings() const { return settings_; }
    // Returns the live hosts, including this one.
    std::vector<routing::PeerUpdate> hosts() const;
    // Returns the IPs of the seed hosts in the settings, which may include this host's.
    std::vector<std::string> seedIps() const;

private:
    routing::PeerState peerState() const;
    void sampleOwnWallTime();
    void onGossipRound();
    void applyDivision(const routing::FleetDivision &division);
    void computeDivision();
    void setPositionAmong(const std::vector<routing::PeerUpdate> &live);
    void updateCoordinatorRankings(const std::vector<routing::PeerUpdate> &live);
    // isNews: the list has just been read.
    void recordPoolVersions(const routing::EndpointRegistry::SoftwareVersions &listed, bool isNews);
    void onLeavingUpdate(const routing::LeavingUpdate &update);
    void publishOwnState();
    void logHostChanges(const std::vector<routing::PeerUpdate> &hosts);
    void logFullness();
    // Ends once no request is open, or when the time for the stop is over.
    void waitForOpenRequests();
    bool hasConnections() const;
    void end();
    std::vector<std::shared_ptr<Exchange>> openExchanges() const;
    // The servers that take requests of clients, directly or from other hosts.
    std::vector<httpio::Server *> requestServers() const;
    void serveMetrics(const httpio::ServerRequest &request, httpio::ResponseWriter &reply);

    asio::io_context &io_;
    httpio::Timers &timers_;
    GatewaySettings settings_;
    PageHandlers pages_;
    GatewayState state_;
    httpio::ServerLimits forwardedLimits_;
    httpio::ServerLimits directoryLimits_;
    httpio::ServerLimits pageLimits_;
    std::unique_ptr<httpio::Server> callers_;
    std::unique_ptr<httpio::Server> forwarded_; // null: other hosts can't pass on requests
    std::unique_ptr<httpio::Server> readiness_;
    std::unique_ptr<httpio::Server> directory_;
    std::unique_ptr<httpio::Server> metrics_;
    PeerGossip gossip_;
    bool listsAllEndpoints_ = true;
    bool leaving_ = false;
    bool wasFull_ = false;
    routing::PeerState lastState_ = routing::PeerState::NotReady;
    std::vector<std::string> lastHosts_; // sorted
    units::WorkCount hostsCompared_; // comparisons made when ordering hosts
    units::TimePoint stopBy_;
    std::function<void()> stopped_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAY_H
