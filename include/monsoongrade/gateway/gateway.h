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

// One entry host's part of the system: serves callers by the configuration and endpoints that it
// is given, and keeps in touch with the other hosts. Knows nothing of the platform's formats.
class Gateway
{
public:
    using Page = std::function<void(const Gateway &, const httpio::ServerRequest &,
                                    httpio::ResponseWriter &)>;
    struct PageHandlers
    {
        Page readiness;
        Page directory;
    };

    Gateway(asio::io_context &io, httpio::Timers &timers, const GatewaySettings &settings,
            const HeaderCodec &dialect, PageHandlers pages);

    // Opens the listening sockets and begins to talk to the other hosts.
    void start();

    // A newer configuration; an older one than that in force is ignored.
    void applyConfiguration(routing::TrafficConfiguration configuration);
    // No configuration that was accepted before this time is missing here.
    void markConfigurationCurrent(units::TimePoint at);
    void replaceEndpoints(const std::vector<routing::DiscoveredEndpoint> &endpoints,
                          units::TimePoint keepMissingUntil);
    void updateEndpoint(const routing::DiscoveredEndpoint &endpoint);
    void removeEndpoint(const units::EndpointId &id, units::TimePoint keepMissingUntil);
    // The cells of the fleet, as told by a host that has the list of all endpoints. None: the list
    // here is of all endpoints, and the cells follow from it.
    void setDivision(const std::optional<routing::FleetDivision> &told);
    const routing::FleetDivision &division() const { return state_.registry.division(); }

    // Whether the platform's store answers this host.
    void setStoreReachable(bool hasStore) { gossip_.setStoreReachable(hasStore); }
    // The store turned this host away though others have it.
    void setStoreRefused(bool isRefused) { gossip_.setStoreRefused(isRefused); }
    // Fencing token of the duties' lease that this host holds; 0 if it does not.
    void setDutyToken(std::uint64_t token) { gossip_.setDutyToken(token); }
    // Takes requests: the configuration is there and fresh, and the host is not leaving.
    bool isServing() const;
    // IP:PORT addresses that callers should use now.
    std::vector<std::string> callerAddresses(const units::FailureDomain &callersDomain,
                                             std::size_t maxAddresses) const;
    // Begins a planned stop; stopped is called when the process may end.
    void stop(std::function<void()> stopped);
    // Settings that may change while the process runs.
    void reload(const GatewaySettings &settings);

    GatewayState &state() { return state_; }
    const GatewaySettings &settings() const { return settings_; }
    // The hosts that are live, this one included.
    std::vector<routing::PeerUpdate> hosts() const;
    // IPs of the hosts that the settings name, this one perhaps among them.
    std::vector<std::string> seedIps() const;

private:
    routing::PeerState peerState() const;
    void onGossipRound();
    void divide(const routing::FleetDivision &division);
    void divideByOwnList();
    void setPlacingOrders(const std::vector<routing::PeerUpdate> &live);
    void onRateLimitUpdate(const routing::RateLimitUpdate &news);
    void noteOwnState();
    void noteHosts(const std::vector<routing::PeerUpdate> &hosts);
    void waitForOpenRequests();
    void serveMetrics(const httpio::ServerRequest &request, httpio::ResponseWriter &reply);

    asio::io_context &io_;
    httpio::Timers &timers_;
    GatewaySettings settings_;
    PageHandlers pages_;
    GatewayState state_;
    httpio::ServerLimits pageLimits_;
    std::unique_ptr<httpio::Server> callers_;
    std::unique_ptr<httpio::Server> readiness_;
    std::unique_ptr<httpio::Server> directory_;
    std::unique_ptr<httpio::Server> metrics_;
    PeerGossip gossip_;
    bool listsAllEndpoints_ = true;
    bool leaving_ = false;
    routing::PeerState lastState_ = routing::PeerState::NotReady;
    std::vector<std::string> lastHosts_; // sorted
    units::WorkCount hostsCompared_; // to order them
    units::TimePoint stopBy_;
    std::function<void()> stopped_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAY_H
