#include <monsoongrade/routing/placementquery.h>

namespace monsoongrade::routing {

PlacementQuery placementQuery(const RequestFacts &facts, const units::PoolName &pool,
                              bool runsModel, units::Tier tier,
                              const units::FailureDomain &askersDomain)
{
    PlacementQuery query;
    query.pool = pool;
    query.runsModel = runsModel;
    query.promptTokens = facts.promptTokens.value();
    query.ownTokens = query.promptTokens;
    query.tier = tier;
    query.askersDomain = askersDomain;
    if (facts.promptParts.empty())
        return query;
    const std::size_t parts = facts.promptParts.size();
    query.sharedPart = facts.promptParts[parts > 1 ? parts - 2 : 0].id;
    query.ownTokens = facts.promptParts.back().tokens.value();
    return query;
}

} // namespace monsoongrade::routing
