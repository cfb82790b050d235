#ifndef MONSOONGRADE_GATEWAY_GATEWAYSTATE_H
#define MONSOONGRADE_GATEWAY_GATEWAYSTATE_H

#include <monsoongrade/duties/walltimeestimate.h>
#include <monsoongrade/gateway/endpointconnections.h>
#include <monsoongrade/gateway/headercodec.h>
#include <monsoongrade/gateway/placementservice.h>
#include <monsoongrade/gateway/ratelimitedlog.h>
#include <monsoongrade/gateway/reachmonitor.h>
#include <monsoongrade/gateway/startupgate.h>
#include <monsoongrade/gateway/streamversionservice.h>
#include <monsoongrade/gateway/usagemeter.h>
#include <monsoongrade/httpio/serverlimits.h>
#include <monsoongrade/routing/crashtracker.h>
#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/forwardinghosts.h>
#include <monsoongrade/routing/freshnesslease.h>
#include <monsoongrade/routing/poolversions.h>
#include <monsoongrade/routing/retryallowance.h>
#include <monsoongrade/routing/routetable.h>
#include <monsoongrade/units/bytebudget.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace monsoongrade::gateway {

class Exchange;

// Times of a planned stop. Until acceptsAllUntil, callers may not know yet that the host is leaving
// and every request is accepted. After that, a request that may still be running at stopsAt is
// refused, because its caller has been given other hosts that can complete it.
struct PlannedStop
{
    units::TimePoint acceptsAllUntil;
    units::TimePoint stopsAt;

    bool shouldRefuse(units::TimePoint deadline, units::TimePoint now) const
    {
        return now >= acceptsAllUntil && deadline >= stopsAt;
    }
};

// State shared by all requests of this host. Not thread-safe.
struct GatewayState
{
    GatewayState(asio::io_context &io, httpio::Timers &timersToUse,
                 const HeaderCodec &headerCodecToUse, routing::FreshnessLease leaseToUse,
                 PlacementService::Settings placementSettings,
                 const StreamVersionService::Settings &streamVersionSettings,
                 std::size_t maxResponseBytes)
        : timers(timersToUse)
        , startedAt(timersToUse.now())
        , headerCodec(headerCodecToUse)
        , lease(leaseToUse)
        , connections(io, timersToUse)
        , announcements(wallTime)
        , registry(
              [this](const routing::EndpointStatus &endpoint) { connections.closeIdle(endpoint); },
              [this](const routing::EndpointInstance &listed) {
                  return hasAnnouncedLeaving(listed);
              })
        , reach(timersToUse, connections, registry)
        , hostConnections(io, timersToUse)
        , responseBytes(std::make_shared<units::ByteBudget>(maxResponseBytes))
        , log(timersToUse)
        , startupGate(timersToUse)
        , placement(io, timersToUse, std::move(placementSettings), registry, announcements, log)
        , streamVersions(io, timersToUse, streamVersionSettings, otherHosts, poolVersions,
                         log.metrics)
    {
    }

    // A response to this or another host, to a request sent at this time, announced that the
    // endpoint is leaving. It gets no new requests. Returns false if that was known.
    bool setLeaving(const routing::EndpointInstance &endpoint, units::TimePoint at);
    // Whether an announcement of leaving concerns the process that the store lists. Logs when one
    // no longer does, or may not.
    bool hasAnnouncedLeaving(const routing::EndpointInstance &listed);

    httpio::Timers &timers;
    units::TimePoint startedAt; // of this process; no retry is spent within a window after it
    const HeaderCodec &headerCodec;
    std::shared_ptr<const routing::RouteTable> table; // null until the first configuration
    routing::FreshnessLease lease;
    EndpointConnections connections;
    duties::WallTimeEstimate wallTime; // has a sample of this host's clock from the start on
    routing::EndpointAnnouncements announcements;
    routing::EndpointRegistry registry;
    ReachMonitor reach;
    EndpointConnections hostConnections; // for requests that other hosts send for this one
    routing::ForwardingHosts forwardingHosts;
    std::uint16_t forwardingPort = 0; // 0: none
    std::vector<routing::PeerUpdate> otherHosts; // live ones, as of the last gossip round
    routing::CrashTracker crashes;
    routing::RetryLimit retryLimit;
    std::unordered_map<std::string, routing::RetryAllowance> retryAllowances; // by pool
    httpio::ServerLimits callerLimits;
    // Bytes of responses that wait to be complete or to be read by their clients.
    std::shared_ptr<units::ByteBudget> responseBytes;
    units::FailureDomain ownDomain;
    int liveHosts = 1; // including this one
    std::unordered_set<std::shared_ptr<Exchange>> openExchanges; // accepted and not finished
    std::optional<PlannedStop> plannedStop; // set while the host is leaving
    RateLimitedLog log;
    StartupGate startupGate;
    PlacementService placement;
    routing::PoolVersions poolVersions;
    StreamVersionService streamVersions;
    std::unique_ptr<UsageMeter> usage; // null if usage reports are disabled
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAYSTATE_H
