#include <monsoongrade/routing/queueing/roomforecast.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing::queueing {

namespace {

constexpr std::chrono::duration<double> HalfLife = std::chrono::seconds(1);
constexpr auto MaxAge = std::chrono::seconds(2);
constexpr double InitialPerEndpoint = 1; // requests a second
constexpr double MinPerEndpoint = InitialPerEndpoint / 4;

double decay(units::Duration passed)
{
    return std::exp2(-std::chrono::duration<double>(passed) / HalfLife);
}

} // namespace

void RoomForecaster::onPlaced(const units::PoolName &pool, units::Tier tier, units::TimePoint now)
{
    DecayingCount &placed = placed_[{pool.value(), tier}];
    placed.count = placed.count * decay(now - placed.at) + 1;
    placed.at = now;
}

double RoomForecaster::placedPerSecond(const units::PoolName &pool, units::Tier tier,
                                       std::size_t endpoints, units::TimePoint now) const
{
    const auto perEndpoint = double(std::max<std::size_t>(endpoints, 1));
    double count = 0;
    bool isKnown = false;
    for (auto each = placed_.lower_bound({pool.value(), tier});
         each != placed_.end() && each->first.first == pool.value(); ++each) {
        const units::Duration age = now - each->second.at;
        if (age > MaxAge)
            continue;
        isKnown = true;
        count += each->second.count * decay(age);
    }
    if (!isKnown)
        return InitialPerEndpoint * perEndpoint;
    const double perSecond = count * std::log(2.0) / HalfLife.count();
    return std::max(perSecond, MinPerEndpoint * perEndpoint);
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
