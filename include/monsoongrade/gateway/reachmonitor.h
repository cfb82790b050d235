#ifndef MONSOONGRADE_GATEWAY_REACHMONITOR_H
#define MONSOONGRADE_GATEWAY_REACHMONITOR_H

#include <monsoongrade/gateway/endpointconnections.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/endpointreach.h>
#include <monsoongrade/routing/endpointregistry.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::gateway {

// Finds out which pools this host can't reach. Connections made for requests are few, since most
// requests use open ones; so after a failure the monitor opens some of its own, and one at
// intervals while a pool is lost.
class ReachMonitor
{
public:
    using FaultHandler = std::function<void(bool isEndpointsFault)>;

    ReachMonitor(httpio::Timers &timers, EndpointConnections &connections,
                 const routing::EndpointRegistry &registry);

    // A request sent to the endpoint at this time has got nothing yet.
    void onSuspected(const routing::EndpointStatus &endpoint, units::TimePoint sentAt);

    // Calls the handler when it is known whose fault a failure at an endpoint of the pool is: with
    // true if it is the endpoint's, with false if this host has lost the pool. Calls it at once
    // unless connections that tell are being made.
    void whenFaultIsKnown(const units::PoolName &pool, FaultHandler handler);

    bool isLost(const units::PoolName &pool) const { return reach_.isLost(pool); }
    std::vector<units::PoolName> lostPools() const { return reach_.lostPools(); }

private:
    struct PoolState
    {
        units::TimePoint probedAt{};
        units::TimePoint lostAt{};
        // Until when probes may still tell whose fault failures are, and who waits for it.
        units::TimePoint inDoubtUntil{};
        std::vector<FaultHandler> waiting;
    };

    void onConnectEnded(const routing::DiscoveredEndpoint &endpoint, bool isConnected,
                        units::TimePoint begunAt);
    // Opens connections to as many other endpoints as have to fail for the pool to be lost.
    void probeOthers(const units::PoolName &pool);
    void probeWhileLost(const units::PoolName &pool);
    // Limits the probes that suspicions and failures cause.
    bool mayProbe(const units::PoolName &pool);
    void probe(const routing::EndpointStatus &endpoint);
    void resolve(const units::PoolName &pool, bool isEndpointsFault);

    httpio::Timers &timers_;
    EndpointConnections &connections_;
    const routing::EndpointRegistry &registry_;
    routing::EndpointReach reach_;
    std::map<std::string, PoolState> pools_; // by name
    std::minstd_rand random_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_REACHMONITOR_H
