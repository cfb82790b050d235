#ifndef MONSOONGRADE_ROUTING_ENDPOINTINSTANCE_H
#define MONSOONGRADE_ROUTING_ENDPOINTINSTANCE_H

#include <monsoongrade/routing/discoveredendpoint.h>

namespace monsoongrade::routing {

// One run of an endpoint process.
struct EndpointInstance
{
    units::EndpointId id;
    Incarnation incarnation;

    friend bool operator==(const EndpointInstance &a, const EndpointInstance &b)
    {
        return a.id == b.id && a.incarnation == b.incarnation;
    }
    friend bool operator<(const EndpointInstance &a, const EndpointInstance &b)
    {
        return a.id != b.id ? a.id < b.id : a.incarnation < b.incarnation;
    }
};

inline EndpointInstance instanceOf(const DiscoveredEndpoint &endpoint)
{
    return {endpoint.id, endpoint.incarnation};
}

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTINSTANCE_H
