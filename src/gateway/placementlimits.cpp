#include <monsoongrade/gateway/placementservice.h>

#include <monsoongrade/observability/log.h>
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

// The entry may be of another process than the one that announced the limit, which then ends.
void PlacementService::applyKnownLimit(const routing::DiscoveredEndpoint &listed)
{
    const routing::EndpointInstance instance = routing::instanceOf(listed);
    const auto endpoint = registry_.find(instance);
    if (endpoint != nullptr)
        setLimit(*endpoint, announcements_.limitOf(instance));
}

void PlacementService::receiveLimit(const routing::RateLimitUpdate &update, std::string_view source)
{
    if (!announcements_.setLimit(update.endpoint, update.limit, timers_.now() - update.age))
        return;
    const auto endpoint = registry_.findAvailable(update.endpoint.id);
    if (endpoint == nullptr)
        return;
    const bool wasLimited = endpoint->rateLimiter.limit().has_value();
    applyKnownLimit(endpoint->registration);
    const auto &limit = endpoint->rateLimiter.limit();
    if (limit.has_value() != wasLimited)
        observability::log(observability::LogLevel::Info, "endpoint-limit-learned",
                           {{"endpoint", update.endpoint.id.value()},
                            {"requests-per-second", limit.value_or(-1)},
                            {"source", source}});
}

} // namespace monsoongrade::gateway
