#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEEDMODEL_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEEDMODEL_H

#include <monsoongrade/routing/discoveredendpoint.h>

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
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_ENDPOINTSPEEDMODEL_H
