#include <monsoongrade/routing/routetable.h>

#include <monsoongrade/routing/shortpausereserve.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Number of tiers that engines distinguish.
constexpr std::uint32_t DistinctTiers = 10;

std::string routeKey(const std::string &host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    return key.append(host).append(" ").append(prefix);
}

bool sendsTo(const Route &route, const units::PoolName &pool)
{
    return std::any_of(route.pools.begin(), route.pools.end(),
                       [&](const WeightedPool &each) { return each.pool == pool; });
}

} // namespace

RouteTable::RouteTable(TrafficConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (const Route &route : configuration_.routes)
        routes_.emplace(routeKey(route.host, route.pathPrefix), &route);
    for (const WorkspaceKeys &workspace : configuration_.workspaces) {
        for (const std::string &key : workspace.keys)
            workspaces_.emplace(key, &workspace);
    }
    for (TrafficPool &pool : configuration_.pools) {
        pool.servesShortPauses = pool.runsModel
            && std::any_of(configuration_.routes.begin(), configuration_.routes.end(),
                           [&](const Route &route) {
                               return sendsTo(route, pool.name)
                                   && needsShortPauses(route, pool.tokensPerEvent);
                           });
        pools_.emplace(pool.name.value(), &pool);
    }
    std::uint32_t routeTiers = 1;
    for (const Route &route : configuration_.routes)
        routeTiers = std::max(routeTiers, route.tier.value() + 1);
    std::uint32_t workspaceTiers = 1;
    for (const WorkspaceKeys &workspace : configuration_.workspaces)
        workspaceTiers
            = std::max(workspaceTiers, workspace.tier.value_or(units::Tier(0)).value() + 1);
    tiersPerRoute_ = std::clamp(DistinctTiers / routeTiers, 1U, workspaceTiers);
}

const Route *RouteTable::find(const std::string &host, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find('?'));
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = routes_.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != routes_.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const WorkspaceKeys *RouteTable::workspaceOf(const std::string &key) const
{
    const auto found = workspaces_.find(key);
    return found == workspaces_.end() ? nullptr : found->second;
}

units::Tier RouteTable::tierOf(const Route &route, const WorkspaceKeys *workspace) const
{
    const std::uint32_t within
        = workspace == nullptr ? 0 : workspace->tier.value_or(units::Tier(0)).value();
    return units::Tier(route.tier.value() * tiersPerRoute_ + std::min(within, tiersPerRoute_ - 1));
}

const TrafficPool *RouteTable::pool(const units::PoolName &name) const
{
    const auto found = pools_.find(name.value());
    return found == pools_.end() ? nullptr : found->second;
}

const units::PoolName &choosePool(const Route &route, double share)
{
    double total = 0;
    for (const WeightedPool &pool : route.pools)
        total += pool.weight;
    double left = share * total;
    for (const WeightedPool &pool : route.pools) {
        left -= pool.weight;
        if (left < 0)
            return pool.pool;
    }
    return route.pools.back().pool;
}

} // namespace monsoongrade::routing
