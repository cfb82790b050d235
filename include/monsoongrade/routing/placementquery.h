#ifndef MONSOONGRADE_ROUTING_PLACEMENTQUERY_H
#define MONSOONGRADE_ROUTING_PLACEMENTQUERY_H

#include <monsoongrade/routing/requestmetadata.h>
#include <monsoongrade/routing/route.h>
#include <monsoongrade/routing/trafficpool.h>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// What placement needs to know of one request.
struct PlacementQuery
{
    units::PoolName pool;
    bool runsModel = false;
    // The prompt part that other requests share with this one, or its only part; may be empty.
    std::string sharedPart;
    std::int64_t promptTokens = 0; // the whole prompt
    std::int64_t ownTokens = 0; // without what may be cached
    units::Tier tier;
    // Its events may be only so far apart that its endpoint must not read long prompts meanwhile.
    bool needsShortPauses = false;
    // Other requests of the pool need that. One endpoint is then kept for them even while none is
    // open: else a placing host that has just started would look for prompt parts elsewhere than
    // the one before it.
    bool poolServesShortPauses = false;
    // Endpoints that already had this request and are not to get it again.
    std::vector<units::EndpointId> tried;
    units::FailureDomain requesterDomain;
    // Until the first event should be there, and until the request is given up; from the asking.
    units::Duration targetIn{};
    units::Duration expiresIn{};
    // The asking host can wait for an endpoint; without, the request is placed at once.
    bool mayWait = false;
    // This host decides without those of the others in view.
    bool isLocalFallback = false;
};

// The query for a request of which nothing has been tried yet. pool: null if the configuration does
// not describe it.
PlacementQuery placementQuery(const RequestMetadata &facts, const Route &route,
                              const units::PoolName &poolName, const TrafficPool *pool,
                              units::Tier tier, const units::FailureDomain &requesterDomain);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PLACEMENTQUERY_H
