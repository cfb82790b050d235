#include <monsoongrade/routing/placementquery.h>

#include <monsoongrade/routing/shortpausereserve.h>
#include <monsoongrade/units/stablehash.h>

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

ReturnKey returnKeyOf(const RequestMetadata &metadata, std::string_view target)
{
    if (metadata.promptParts.empty())
        return ReturnKey(0);
    units::StableHash hash;
    for (const std::string_view text :
         {std::string_view(metadata.host), target, std::string_view(metadata.key),
          std::string_view(metadata.promptParts.back().id)}) {
        hash.add(text);
        hash.add(std::uint64_t(text.size()));
    }
    hash.add(std::uint64_t(metadata.promptTokens.value()));
    return ReturnKey(hash.spread());
}

} // namespace monsoongrade::routing
