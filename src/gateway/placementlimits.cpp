#include <monsoongrade/gateway/placementservice.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace monsoongrade::gateway {

void PlacementService::setLiveHosts(int hosts, int ownIndex)
{
    const double share = 1.0 / std::max(hosts, 1);
    placer_.setOwnShare(share);
    phase_ = ownIndex * share;
}

bool PlacementService::setLimit(routing::EndpointStatus &endpoint,
                                std::optional<routing::RequestsPerSecond> limit)
{
    // The hosts take turns; which of them is first differs between endpoints.
    const double first = double(units::spreadHash({endpoint.registration.id.value()}))
        / double(std::numeric_limits<std::uint64_t>::max());
    return endpoint.rateLimiter.setLimit(limit, std::fmod(phase_ + first, 1.0), timers_.now());
}

} // namespace monsoongrade::gateway
