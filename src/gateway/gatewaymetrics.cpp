#include <monsoongrade/gateway/gateway.h>

namespace monsoongrade::gateway {

void Gateway::serveMetrics(const httpio::ServerRequest &request, httpio::ResponseWriter &reply)
{
    if (request.head.target != "/metrics") {
        reply.respond(404, {}, "");
        return;
    }
    observability::Metrics &metrics = state_.log.metrics;
    metrics.set("monsoongrade_gateway_requests_in_flight", "", double(state_.openExchanges.size()));
    metrics.set("monsoongrade_gateway_caller_connections", "", double(callers_->connections()));
    metrics.set("monsoongrade_gateway_caller_connections_max", "",
                double(state_.callerLimits.maxConnections));
    metrics.set("monsoongrade_gateway_caller_connections_evicted_total", "",
                double(callers_->evictedConnections()));
    metrics.set("monsoongrade_gateway_caller_connections_refused_total", "",
                double(callers_->refusedConnections()));
    metrics.set("monsoongrade_gateway_response_bytes_held", "",
                double(state_.responseBytes->used()));
    metrics.set("monsoongrade_gateway_endpoint_connections_opened", "",
                double(state_.connections.opened()));
    metrics.set("monsoongrade_gateway_endpoint_connections_idle", "",
                double(state_.connections.idle()));
    metrics.set("monsoongrade_gateway_endpoints_known", "", double(state_.registry.size()));
    metrics.set("monsoongrade_gateway_requests_quarantined", "",
                double(state_.crashes.quarantinedCount(timers_.now())));
    metrics.set("monsoongrade_gateway_limit_share", "", state_.placement.limitShare());
    const auto speeds = state_.placement.speedRange();
    metrics.set("monsoongrade_gateway_endpoint_speed_min", "", speeds ? speeds->first : 1);
    metrics.set("monsoongrade_gateway_endpoint_speed_max", "", speeds ? speeds->second : 1);
    metrics.set("monsoongrade_gateway_endpoints_limited", "",
                double(state_.announcements.limited()));
    metrics.set("monsoongrade_gateway_endpoints_brittle", "",
                double(state_.announcements.brittle()));
    metrics.set("monsoongrade_gateway_endpoints_leaving", "",
                double(state_.announcements.leaving()));
    metrics.set("monsoongrade_gateway_endpoints_paused", "",
                double(state_.announcements.paused(timers_.now()).size()));
    metrics.set("monsoongrade_gateway_pools_unreachable", "",
                double(state_.reach.lostPools().size()));
    metrics.set("monsoongrade_gateway_live_hosts", "", double(state_.liveHosts));
    metrics.set("monsoongrade_gateway_hosts_compared_total", "", double(hostsCompared_.value()));
    metrics.set("monsoongrade_gateway_fleet_cells", "", double(division().cells()));
    metrics.set("monsoongrade_gateway_own_cell", "", double(division().cellOf(settings_.ip)));
    metrics.set("monsoongrade_gateway_workspaces_over_share", "",
                double(state_.placement.workspacesOverShare()));
    metrics.set("monsoongrade_gateway_serving", "", isServing() ? 1 : 0);
    const units::Duration age = state_.lease.age(timers_.now());
    if (age != units::Duration::max())
        metrics.set("monsoongrade_gateway_configuration_age_seconds", "",
                    std::chrono::duration<double>(age).count());
    reply.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.exposition());
}

} // namespace monsoongrade::gateway
