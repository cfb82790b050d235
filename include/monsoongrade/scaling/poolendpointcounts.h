#ifndef MONSOONGRADE_SCALING_POOLENDPOINTCOUNTS_H
#define MONSOONGRADE_SCALING_POOLENDPOINTCOUNTS_H

#include <monsoongrade/routing/discoveredendpoint.h>

#include <map>
#include <vector>

namespace monsoongrade::scaling {

// Endpoints of one kind in one failure domain.
struct EndpointCounts
{
    int ready = 0;
    int draining = 0;
};

struct DomainEndpointCounts
{
    EndpointCounts ordinary;
    EndpointCounts preemptible;
};

// The endpoints of one pool as the platform's store lists them.
struct PoolEndpointCounts
{
    std::map<units::FailureDomain, DomainEndpointCounts> domains;

    int ready() const;
};

PoolEndpointCounts countEndpoints(const std::vector<routing::DiscoveredEndpoint> &endpoints);

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_POOLENDPOINTCOUNTS_H
