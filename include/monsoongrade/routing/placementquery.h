#ifndef MONSOONGRADE_ROUTING_PLACEMENTQUERY_H
#define MONSOONGRADE_ROUTING_PLACEMENTQUERY_H

#include <monsoongrade/routing/discoveredendpoint.h>
#include <monsoongrade/routing/requestmetadata.h>
#include <monsoongrade/routing/route.h>
#include <monsoongrade/routing/trafficpool.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoongrade::routing {

// Identifies a request across client attempts: each attempt has a request id of its own. 0:
// unknown.
using ReturnKey = units::StrongNumber<struct ReturnKeyTag, std::uint64_t>;

// Attributes of a request that placement depends on.
struct PlacementQuery
{
    units::PoolName pool;
    bool runsModel = false;
    // The coordinator places it though it runs no model.
    bool isCoordinated = false;
    // Id of the prompt prefix shared with other requests, or of the only part; may be empty.
    std::string sharedPart;
    std::int64_t promptTokens = 0; // the whole prompt
    std::int64_t ownTokens = 0; // without the part that may be cached
    units::Tier tier;
    units::WorkspaceName workspace; // empty if there is none
    ReturnKey returnKey;
    // Its maximum event gap is too short for an endpoint that prefills long prompts meanwhile.
    bool needsShortPauses = false;
    // Some requests of the pool need that. One endpoint is then reserved even while none is open:
    // otherwise a newly started placement coordinator would look for prompt parts on other
    // endpoints than its predecessor.
    bool poolServesShortPauses = false;
    // Endpoints that have already been tried; they are excluded.
    std::vector<units::EndpointId> tried;
    // Endpoints that have asked the requesting host for a pause; excluded. Other hosts may send to
    // them.
    std::vector<units::EndpointId> paused;
    // Set once the stream has begun at this version: other endpoints are excluded.
    std::optional<units::SoftwareVersion> softwareVersion;
    units::FailureDomain requesterDomain;
    // Time from the query until the first event is due, and until the client gives up.
    units::Duration targetIn{};
    units::Duration expiresIn{};
    // The request may be queued; otherwise it is placed at once.
    bool mayWait = false;
    // Each endpoint of the pool is used by the hosts of one cell only.
    bool isPoolDivided = false;

    // Whether one host, the coordinator, places such requests of all hosts.
    bool hasCoordinator() const { return runsModel || isCoordinated; }
};

// Whether the software version of the endpoint permits it to run the request.
bool hasPermittedVersion(const DiscoveredEndpoint &endpoint, const PlacementQuery &query);

// The query for the first attempt of a request. pool: null if the configuration lacks it.
PlacementQuery placementQuery(const RequestMetadata &metadata, const Route &route,
                              const units::PoolName &poolName, const TrafficPool *pool,
                              units::Tier tier, const units::FailureDomain &requesterDomain);

// The key of a request with a prompt: its last prompt part belongs to the request or its session,
// so client attempts with the same key, target and parts are attempts of one request.
ReturnKey returnKeyOf(const RequestMetadata &metadata, std::string_view target);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PLACEMENTQUERY_H
