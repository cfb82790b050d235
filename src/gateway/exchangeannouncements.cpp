#include <monsoongrade/gateway/exchange.h>

#include <algorithm>

namespace monsoongrade::gateway {

std::vector<units::EndpointId> Exchange::pausedEndpoints() const
{
    std::vector<units::EndpointId> ids;
    const units::TimePoint now = state_.timers.now();
    for (const routing::EndpointInstance &paused : state_.announcements.paused(now)) {
        const auto status = state_.registry.findAvailable(paused.id);
        if (status != nullptr && status->registration.pool == pool_
            && !state_.announcements.allowsRequests(routing::instanceOf(status->registration), now))
            ids.push_back(paused.id);
    }
    return ids;
}

// Time until the first endpoint of the pool accepts requests of this host again; empty if one does
// now, or if there is none.
std::optional<units::Duration> Exchange::pauseOfPool() const
{
    std::optional<units::Duration> shortest;
    for (const auto &endpoint : state_.registry.available(pool_)) {
        const units::Duration remaining = state_.announcements.pauseRemaining(
            routing::instanceOf(endpoint->registration), state_.timers.now());
        if (remaining == units::Duration::zero())
            return std::nullopt;
        shortest = std::min(shortest.value_or(remaining), remaining);
    }
    return shortest;
}

} // namespace monsoongrade::gateway
