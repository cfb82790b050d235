#ifndef MONSOONGRADE_GATEWAY_GATEWAYSTATE_H
#define MONSOONGRADE_GATEWAY_GATEWAYSTATE_H

#include <monsoongrade/gateway/endpointconnections.h>
#include <monsoongrade/gateway/firstread.h>
#include <monsoongrade/gateway/requestdialect.h>
#include <monsoongrade/gateway/sharedplacement.h>
#include <monsoongrade/gateway/trafficlog.h>
#include <monsoongrade/httpio/serverlimits.h>
#include <monsoongrade/routing/endpointroster.h>
#include <monsoongrade/routing/freshnesslease.h>
#include <monsoongrade/routing/retryallowance.h>
#include <monsoongrade/routing/routetable.h>

#include <unordered_map>

namespace monsoongrade::gateway {

// What all requests of this host share. One thread uses it; it has no lock.
struct GatewayState
{
    GatewayState(asio::io_context &io, httpio::Timers &timersToUse,
                 const RequestDialect &dialectToUse, routing::FreshnessLease leaseToUse,
                 SharedPlacement::Settings placementSettings)
        : timers(timersToUse)
        , dialect(dialectToUse)
        , lease(leaseToUse)
        , connections(io, timersToUse)
        , roster(
              [this](const routing::EndpointStatus &endpoint) { connections.closeIdle(endpoint); })
        , log(timersToUse)
        , firstRead(timersToUse)
        , placement(io, timersToUse, std::move(placementSettings), roster, log.metrics)
    {
    }

    httpio::Timers &timers;
    const RequestDialect &dialect;
    std::shared_ptr<const routing::RouteTable> table; // null until the first configuration
    routing::FreshnessLease lease;
    EndpointConnections connections;
    routing::EndpointRoster roster;
    routing::RetryBound retryBound;
    std::unordered_map<std::string, routing::RetryAllowance> retryAllowances; // by pool
    httpio::ServerLimits callerLimits;
    units::FailureDomain ownDomain;
    int liveHosts = 1; // this one included
    int openRequests = 0; // accepted and not ended
    TrafficLog log;
    FirstRead firstRead;
    SharedPlacement placement;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAYSTATE_H
