#ifndef MONSOONGRADE_TESTS_ROUTING_FIXEDSPEEDS_H
#define MONSOONGRADE_TESTS_ROUTING_FIXEDSPEEDS_H

#include <monsoongrade/routing/performance/endpointspeedmodel.h>

#include <map>
#include <string>

namespace monsoongrade::routing {

// Speeds that are known from the start, by endpoint id.
class FixedSpeeds : public performance::EndpointSpeedModel
{
public:
    double relativeSpeed(const units::PoolName &, const DiscoveredEndpoint &endpoint,
                         units::TimePoint) const override
    {
        return speeds.at(endpoint.id.value());
    }

    std::map<std::string, double> speeds;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_FIXEDSPEEDS_H
