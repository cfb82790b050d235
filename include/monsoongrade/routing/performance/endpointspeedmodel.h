#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEEDMODEL_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEEDMODEL_H

#include <monsoongrade/routing/discoveredendpoint.h>

#include <cstdint>

namespace monsoongrade::routing::performance {

// How fast each endpoint prefills, relative to the mean endpoint of its pool.
class EndpointSpeedModel
{
public:
    virtual ~EndpointSpeedModel() = default;

    // The effective speed; 2 means twice as fast as the pool's mean. While the endpoint is slow
    // now, this is its momentary speed, otherwise its steady one.
    virtual double relativeSpeed(const units::PoolName &pool, const DiscoveredEndpoint &endpoint,
                                 units::TimePoint now) const = 0;
    // True while the endpoint is temporarily much slower than it steadily is.
    virtual bool isSlowNow(const DiscoveredEndpoint &endpoint, units::TimePoint now) const = 0;
    // The endpoint prefilled the tokens in the given time without a break. expected: the time that
    // the mean endpoint of the pool would have taken.
    virtual void onPrefillDone(const units::PoolName &pool, const DiscoveredEndpoint &endpoint,
                               std::int64_t tokens, units::Duration took, units::Duration expected,
                               units::TimePoint now)
        = 0;
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEEDMODEL_H
