#include <monsoongrade/gateway/placementservice.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace monsoongrade::gateway {

void PlacementService::setLiveHosts(int hosts, int ownPlace)
{
    const double share = 1.0 / std::max(hosts, 1);
    desk_.setOwnShare(share);
    phase_ = ownPlace * share;
}

bool PlacementService::setLimit(routing::EndpointStatus &endpoint,
                                std::optional<routing::RequestsPerSecond> limit)
{
    // Another host is the first one at each endpoint.
    const double first = double(units::spreadHash({endpoint.registration.id.value()}))
        / double(std::numeric_limits<std::uint64_t>::max());
    return endpoint.rateLimiter.setLimit(limit, std::fmod(phase_ + first, 1.0), timers_.now());
}

} // namespace monsoongrade::gateway
