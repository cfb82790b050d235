#include <monsoongrade/routing/shortpausereserve.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

// Duration of a step with a full chunk of 4,096 tokens: 26 ms for the chunk at 157 tokens per
// millisecond, about 8 ms for its attention to the 17,000 tokens of a long prompt, and 7 ms to
// decode the streams' own tokens.
constexpr auto StepTimeWithChunk = std::chrono::milliseconds(41);
// Target utilization of a reserved endpoint's slots. At this load a step takes 6 to 10 ms including
// the prefill of short prompts, and a third of the slots is left for the next burst.
constexpr double TargetUtilization = 0.6;
// Delay before the reserve shrinks, so that it does not follow each fluctuation of the load:
// endpoints that leave it have none of the parts cached on the others, and those that join it stop
// using theirs.
constexpr auto ShrinkDelay = std::chrono::seconds(5);
// Interval at which added, removed or failed endpoints are taken into account. Hashing 60 endpoints
// for each request would double the time of a placement.
constexpr auto SelectionInterval = std::chrono::milliseconds(100);
// An endpoint slower than expected by this factor is not reserved: its event gaps would be too long
// even without long prefills.
constexpr double MaxSlowness = 2;

std::uint64_t hashOf(const EndpointStatus &endpoint)
{
    return units::spreadHash({endpoint.registration.id.value()});
}

} // namespace

bool needsShortPauses(const Route &route, int tokensPerEvent)
{
    return route.kind == RouteKind::Stream
        && route.maxEventGap < tokensPerEvent * units::Duration(StepTimeWithChunk);
}

void ShortPauseReserve::onStreamOpened(const units::PoolName &pool)
{
    ++pools_[pool.value()].openStreams;
}

void ShortPauseReserve::onStreamEnded(const units::PoolName &pool)
{
    Pool &state = pools_[pool.value()];
    state.openStreams = std::max(state.openStreams - 1, 0);
}

const ShortPauseReserve::Endpoints &
ShortPauseReserve::endpoints(const units::PoolName &pool,
                             const std::vector<EndpointRegistry::Status> &available,
                             units::TimePoint now, std::size_t minSize, int arriving)
{
    Pool &state = pools_[pool.value()];
    const int slots = available.empty() ? 1 : std::max(available.front()->registration.slots, 1);
    const auto wanted = std::max(
        minSize,
        std::size_t(std::ceil((state.openStreams + arriving) / (slots * TargetUtilization))));
    const bool isDue = now >= state.selectedAt + SelectionInterval;
    if (wanted >= state.size)
        state.keepSizeUntil = now + ShrinkDelay;
    if (wanted > state.size || (wanted < state.size && now >= state.keepSizeUntil)) {
        state.size = wanted;
        selectEndpoints(state, available, now);
    } else if (isDue) {
        selectEndpoints(state, available, now);
    }
    return state.endpoints;
}

void ShortPauseReserve::selectEndpoints(Pool &pool,
                                        const std::vector<EndpointRegistry::Status> &available,
                                        units::TimePoint now)
{
    pool.selectedAt = now;
    pool.endpoints.clear();
    std::vector<std::pair<std::uint64_t, const EndpointStatus *>> usable;
    for (const EndpointRegistry::Status &endpoint : available) {
        if (!endpoint->leaving && endpoint->health.accepts(now)
            && endpoint->health.slowness(now) < MaxSlowness)
            usable.emplace_back(hashOf(*endpoint), endpoint.get());
    }
    std::sort(usable.begin(), usable.end());
    const std::size_t count = std::min(pool.size, usable.size() / 2);
    for (std::size_t i = 0; i < count; ++i)
        pool.endpoints.insert(usable[i].second);
}

} // namespace monsoongrade::routing
