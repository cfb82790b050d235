#ifndef MONSOONGRADE_ROUTING_ROUTETABLE_H
#define MONSOONGRADE_ROUTING_ROUTETABLE_H

#include <monsoongrade/routing/trafficconfiguration.h>

#include <string_view>
#include <unordered_map>

namespace monsoongrade::routing {

// One version of the operator's configuration, indexed for lookups. Never changes; a new version
// is a new table, and requests keep the one that they began with.
class RouteTable
{
public:
    explicit RouteTable(TrafficConfiguration configuration);

    // The route of the host with the longest prefix of the path, or nullptr. The target may carry
    // a query. Costs one lookup a path segment, however many routes there are.
    const Route *find(const std::string &host, std::string_view target) const;
    // The workspace that holds the key, or nullptr.
    const WorkspaceKeys *workspaceOf(const std::string &key) const;
    const TrafficPool *pool(const units::PoolName &name) const;
    // The tier of a request: that of its route, and within it that of its workspace, as far as ten
    // tiers suffice for both. Classes of requests are routes; a workspace's tier may move its
    // requests before those of another workspace of the same class, but never a breakdown before a
    // summary. workspace may be null.
    units::Tier tierOf(const Route &route, const WorkspaceKeys *workspace) const;
    // Callers must show a key on routes that are not public.
    bool hasKeys() const { return !configuration_.workspaces.empty(); }
    const TrafficConfiguration &configuration() const { return configuration_; }

private:
    TrafficConfiguration configuration_;
    std::unordered_map<std::string, const Route *> routes_; // by host, a space, and prefix
    std::unordered_map<std::string, const WorkspaceKeys *> workspaces_;
    std::unordered_map<std::string, const TrafficPool *> pools_;
    std::uint32_t tiersPerRoute_ = 1;
};

// The pool for a request: the same for the same request id, and in proportion to the weights over
// many requests. share is from 0 up to and without 1.
const units::PoolName &choosePool(const Route &route, double share);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ROUTETABLE_H
