#ifndef MONSOONGRADE_ROUTING_TRAFFICCONFIGURATION_H
#define MONSOONGRADE_ROUTING_TRAFFICCONFIGURATION_H

#include <monsoongrade/routing/revision.h>
#include <monsoongrade/routing/route.h>
#include <monsoongrade/routing/trafficpool.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// A workspace with its API keys. Its tier, if set, orders requests within a route's tier; see
// RouteTable::tierOf().
struct WorkspaceKeys
{
    units::WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<units::Tier> tier;
};

// Size limits and timeouts for requests of callers.
struct CallerLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headTimeout = std::chrono::seconds(5);
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(30);
};

// One version of the operator's traffic configuration.
struct TrafficConfiguration
{
    std::int64_t version = 0; // assigned by the operator, for logs
    Revision revision; // assigned by the store; orders versions
    std::vector<Route> routes;
    std::vector<TrafficPool> pools;
    std::vector<WorkspaceKeys> workspaces;
    CallerLimits limits;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_TRAFFICCONFIGURATION_H
