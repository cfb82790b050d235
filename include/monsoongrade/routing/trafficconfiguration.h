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

// One workspace with the keys that its callers show. Its tier, if given, decides among requests
// of the same route's tier; see RouteTable::tierOf().
struct WorkspaceKeys
{
    units::WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<units::Tier> tier;
};

// What callers may send and how long they may take.
struct CallerLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headTimeout = std::chrono::seconds(5);
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(30);
};

// Everything that the operator decides about traffic, as one version.
struct TrafficConfiguration
{
    std::int64_t version = 0; // the operator's own number, for logs
    Revision revision; // orders versions
    std::vector<Route> routes;
    std::vector<TrafficPool> pools;
    std::vector<WorkspaceKeys> workspaces;
    CallerLimits limits;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_TRAFFICCONFIGURATION_H
