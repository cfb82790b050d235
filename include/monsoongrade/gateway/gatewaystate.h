#ifndef MONSOONGRADE_GATEWAY_GATEWAYSTATE_H
#define MONSOONGRADE_GATEWAY_GATEWAYSTATE_H

#include <monsoongrade/gateway/endpointconnections.h>
#include <monsoongrade/gateway/headercodec.h>
#include <monsoongrade/gateway/placementservice.h>
#include <monsoongrade/gateway/ratelimitedlog.h>
#include <monsoongrade/gateway/startupgate.h>
#include <monsoongrade/gateway/usagemeter.h>
#include <monsoongrade/httpio/serverlimits.h>
#include <monsoongrade/routing/crashtracker.h>
#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/freshnesslease.h>
#include <monsoongrade/routing/ratelimittable.h>
#include <monsoongrade/routing/retryallowance.h>
#include <monsoongrade/routing/routetable.h>

#include <memory>
#include <optional>
#include <unordered_map>

namespace monsoongrade::gateway {

// When a leaving host stops, and from when on it takes no request that may still run then. Until
// takesAllUntil callers may not know yet that the host leaves. A request that is taken later and
// cut at the stop would be lost for nothing: other hosts have long been named to its caller.
struct PlannedStop
{
    units::TimePoint takesAllUntil;
    units::TimePoint stopsAt;

    bool mayCut(units::TimePoint deadline, units::TimePoint now) const
    {
        return now >= takesAllUntil && deadline >= stopsAt;
    }
};

// What all requests of this host share. One thread uses it; it has no lock.
struct GatewayState
{
    GatewayState(asio::io_context &io, httpio::Timers &timersToUse, const HeaderCodec &dialectToUse,
                 routing::FreshnessLease leaseToUse, PlacementService::Settings placementSettings)
        : timers(timersToUse)
        , dialect(dialectToUse)
        , lease(leaseToUse)
        , connections(io, timersToUse)
        , registry(
              [this](const routing::EndpointStatus &endpoint) { connections.closeIdle(endpoint); })
        , log(timersToUse)
        , startupGate(timersToUse)
        , placement(io, timersToUse, std::move(placementSettings), registry, log.metrics)
    {
    }

    httpio::Timers &timers;
    const HeaderCodec &dialect;
    std::shared_ptr<const routing::RouteTable> table; // null until the first configuration
    routing::FreshnessLease lease;
    EndpointConnections connections;
    routing::EndpointRegistry registry;
    routing::CrashTracker crashes;
    routing::RateLimitTable limits;
    routing::RetryLimit retryLimit;
    std::unordered_map<std::string, routing::RetryAllowance> retryAllowances; // by pool
    httpio::ServerLimits callerLimits;
    units::FailureDomain ownDomain;
    int liveHosts = 1; // this one included
    int openRequests = 0; // accepted and not ended
    // Of a planned stop; none while the host is not leaving.
    std::optional<PlannedStop> plannedStop;
    RateLimitedLog log;
    StartupGate startupGate;
    PlacementService placement;
    std::unique_ptr<UsageMeter> usage; // null if the platform asks for no usage reports
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAYSTATE_H
