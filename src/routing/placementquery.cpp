#include <monsoongrade/routing/placementquery.h>

#include <monsoongrade/routing/shortpausereserve.h>

namespace monsoongrade::routing {

bool hasPermittedVersion(const DiscoveredEndpoint &endpoint, const PlacementQuery &query)
{
    return !query.softwareVersion || *query.softwareVersion == endpoint.softwareVersion;
}

PlacementQuery placementQuery(const RequestMetadata &metadata, const Route &route,
                              const units::PoolName &poolName, const TrafficPool *pool,
                              units::Tier tier, const units::FailureDomain &requesterDomain)
{
    PlacementQuery query;
    query.pool = poolName;
    query.runsModel = pool != nullptr && pool->runsModel;
    query.needsShortPauses = query.runsModel && needsShortPauses(route, pool->tokensPerEvent);
    query.poolServesShortPauses = query.runsModel && pool->servesShortPauses;
    query.promptTokens = metadata.promptTokens.value();
    query.ownTokens = query.promptTokens;
    query.tier = tier;
    query.requesterDomain = requesterDomain;
    if (metadata.promptParts.empty())
        return query;
    const std::size_t parts = metadata.promptParts.size();
    query.sharedPart = metadata.promptParts[parts > 1 ? parts - 2 : 0].id;
    query.ownTokens = metadata.promptParts.back().tokens.value();
    return query;
}

} // namespace monsoongrade::routing
