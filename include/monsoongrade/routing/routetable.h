#ifndef MONSOONGRADE_ROUTING_ROUTETABLE_H
#define MONSOONGRADE_ROUTING_ROUTETABLE_H

#include <monsoongrade/routing/trafficconfiguration.h>

#include <string_view>
#include <unordered_map>

namespace monsoongrade::routing {

// One version of the operator's configuration, indexed for lookups. Immutable: a new version is a
// new table, and a request keeps the table that it started with.
class RouteTable
{
public:
    explicit RouteTable(TrafficConfiguration configuration);

    // The host's route with the longest matching path prefix, or nullptr. The target may contain a
    // query. Costs one lookup per path segment, independent of the number of routes.
    const Route *find(const std::string &host, std::string_view target) const;
    // The workspace that the API key belongs to, or nullptr.
    const WorkspaceKeys *workspaceOf(const std::string &key) const;
    const TrafficPool *pool(const units::PoolName &name) const;
    // The tier of a request: its route's tier, subdivided by its workspace's tier as far as ten
    // tiers suffice. Each request class is a route: a workspace's tier may put its requests ahead
    // of another workspace's in the same class, but never a breakdown ahead of a summary. workspace
    // may be null.
    units::Tier tierOf(const Route &route, const WorkspaceKeys *workspace) const;
    // True if routes that are not public require an API key.
    bool hasKeys() const { return !configuration_.workspaces.empty(); }
    const TrafficConfiguration &configuration() const { return configuration_; }

private:
    TrafficConfiguration configuration_;
    std::unordered_map<std::string, const Route *> routes_; // by host, space and prefix
    std::unordered_map<std::string, const WorkspaceKeys *> workspaces_;
    std::unordered_map<std::string, const TrafficPool *> pools_;
    std::uint32_t tiersPerRoute_ = 1;
};

// Chooses a pool in proportion to the weights. share, in [0, 1), is derived from the request id, so
// that the same request gets the same pool.
const units::PoolName &choosePool(const Route &route, double share);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ROUTETABLE_H
