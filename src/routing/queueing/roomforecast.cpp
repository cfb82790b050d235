#include <monsoongrade/routing/queueing/roomforecast.h>

#include <monsoongrade/units/halflife.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing::queueing {

namespace {

constexpr std::chrono::duration<double> HalfLife = std::chrono::seconds(1);
constexpr auto MaxAge = std::chrono::seconds(2);
constexpr double InitialPerEndpoint = 1; // requests a second
constexpr double MinShareOfInitial = 0.25;

} // namespace

void RoomForecaster::onPlaced(const units::PoolName &pool, units::Tier tier, units::TimePoint now)
{
    Placements &placements = pools_[pool.value()];
    if (now - placements.lastAt > MaxAge)
        placements = {now, now, {}};
    placements.lastAt = now;
    DecayingCount &placed = placements.byTier[tier];
    placed.count = placed.count * units::shareLeft(now - placed.at, HalfLife) + 1;
    placed.at = now;
}

double RoomForecaster::placedPerSecond(const units::PoolName &pool, units::Tier tier,
                                       std::size_t endpoints, units::TimePoint now) const
{
    const double initial = InitialPerEndpoint * double(std::max<std::size_t>(endpoints, 1));
    const auto found = pools_.find(pool.value());
    if (found == pools_.end() || now - found->second.lastAt > MaxAge)
        return initial;
    const Placements &placements = found->second;
    double count = 0;
    for (auto each = placements.byTier.lower_bound(tier); each != placements.byTier.end(); ++each)
        count += each->second.count * units::shareLeft(now - each->second.at, HalfLife);
    // The counts start from none, so that the initial rate counts for what they lack.
    const double perSecond = count * std::log(2.0) / HalfLife.count()
        + initial * units::shareLeft(now - placements.firstAt, HalfLife);
    return std::max(perSecond, initial * MinShareOfInitial);
}

WaitForecast RoomForecaster::forecast(const units::PoolName &pool, units::Tier tier,
                                      std::size_t requestsAhead, units::Duration targetIn,
                                      units::Duration expiresIn, std::size_t endpoints,
                                      units::TimePoint now) const
{
    const double perSecond = placedPerSecond(pool, tier, endpoints, now);
    const auto wait = std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double>(double(requestsAhead) / perSecond));
    if (canBeOnTime(wait, targetIn) || isUsefulLate(wait, expiresIn))
        return {};
    return {WaitDecision::Refuse, wait, wait};
}

} // namespace monsoongrade::routing::queueing
