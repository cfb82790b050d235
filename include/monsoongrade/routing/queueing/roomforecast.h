#ifndef MONSOONGRADE_ROUTING_QUEUEING_ROOMFORECAST_H
#define MONSOONGRADE_ROUTING_QUEUEING_ROOMFORECAST_H

#include <monsoongrade/routing/queueing/waitforecast.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace monsoongrade::routing::queueing {

// Predicts how long a request waits while all endpoints of its pool are at their rate limits or
// without a slot, from the number of requests ahead of it and the rate at which queued ones of its
// tier and of lower ones have been placed. Prompt sizes play no part: each request needs one turn
// or slot.
//
// The measured rate has a half-life of a second and is forgotten after two seconds without a
// placement. Until it is known it is one request a second for each endpoint; a quarter of that is
// its lower bound.
class RoomForecaster
{
public:
    // A queued request was placed on an endpoint.
    void onPlaced(const units::PoolName &pool, units::Tier tier, units::TimePoint now);

    // requestsAhead: of its tier and higher ones. targetIn, expiresIn: time until the first event
    // is due and until the client gives up. endpoints: the number in the pool.
    WaitForecast forecast(const units::PoolName &pool, units::Tier tier, std::size_t requestsAhead,
                          units::Duration targetIn, units::Duration expiresIn,
                          std::size_t endpoints, units::TimePoint now) const;

private:
    struct DecayingCount
    {
        double count = 0;
        units::TimePoint at;
    };
    struct Placements
    {
        units::TimePoint firstAt; // of those that are remembered
        units::TimePoint lastAt;
        std::map<units::Tier, DecayingCount> byTier;
    };

    double placedPerSecond(const units::PoolName &pool, units::Tier tier, std::size_t endpoints,
                           units::TimePoint now) const;

    std::unordered_map<std::string, Placements> pools_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_ROOMFORECAST_H
