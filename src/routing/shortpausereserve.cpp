#include <monsoongrade/routing/shortpausereserve.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

// A step with a full chunk of 4,096 tokens: 26 ms for the chunk at 157 tokens a millisecond, about
// 8 ms for its attention to the 17,000 tokens of a long prompt, 7 ms for the streams' own tokens.
constexpr auto StepWithChunk = std::chrono::milliseconds(41);
// Streams on a kept endpoint as a share of its slots. At this load a step takes 6 to 10 ms with the
// reading of their own short prompts, and a third of the slots is left for the next burst.
constexpr double WantedShareOfSlots = 0.6;
// Endpoints taken out of the reserve have none of the prompt parts that the others hold, and those
// taken in stop using theirs. So the reserve does not follow each wave of the load.
constexpr auto KeepSizeFor = std::chrono::seconds(5);
// Endpoints that came, went or failed are noticed after this time. Hashing 60 endpoints for each
// request would double the time of a decision.
constexpr auto ChooseInterval = std::chrono::milliseconds(100);
// An endpoint that answers this many times as slowly as expected is not kept: streams would pause
// there without any long read.
constexpr double MaxSlowness = 2;

std::uint64_t hashOf(const EndpointStatus &endpoint)
{
    return units::spreadHash({endpoint.registration.id.value()});
}

} // namespace

bool needsShortPauses(const Route &route, int tokensPerEvent)
{
    return route.kind == RouteKind::Stream
        && route.maxEventGap < tokensPerEvent * units::Duration(StepWithChunk);
}

void ShortPauseReserve::opened(const units::PoolName &pool)
{
    ++pools_[pool.value()].open;
}

void ShortPauseReserve::ended(const units::PoolName &pool)
{
    Pool &state = pools_[pool.value()];
    state.open = std::max(state.open - 1, 0);
}

const ShortPauseReserve::Endpoints &
ShortPauseReserve::endpoints(const units::PoolName &pool,
                             const std::vector<EndpointRegistry::Status> &available,
                             units::TimePoint now, std::size_t minSize, int arriving)
{
    Pool &state = pools_[pool.value()];
    const int slots = available.empty() ? 1 : std::max(available.front()->registration.slots, 1);
    const auto wanted = std::max(
        minSize, std::size_t(std::ceil((state.open + arriving) / (slots * WantedShareOfSlots))));
    const bool isDue = now >= state.chosenAt + ChooseInterval;
    if (wanted >= state.size)
        state.keepSizeUntil = now + KeepSizeFor;
    if (wanted > state.size || (wanted < state.size && now >= state.keepSizeUntil)) {
        state.size = wanted;
        choose(state, available, now);
    } else if (isDue) {
        choose(state, available, now);
    }
    return state.endpoints;
}

void ShortPauseReserve::choose(Pool &pool, const std::vector<EndpointRegistry::Status> &available,
                               units::TimePoint now)
{
    pool.chosenAt = now;
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
