#ifndef MONSOONGRADE_SCALING_POOLCENSUS_H
#define MONSOONGRADE_SCALING_POOLCENSUS_H

#include <monsoongrade/routing/discoveredendpoint.h>

#include <map>
#include <vector>

namespace monsoongrade::scaling {

// Endpoints of one kind in one failure domain.
struct KindCensus
{
    int ready = 0;
    int draining = 0;
};

struct DomainCensus
{
    KindCensus ordinary;
    KindCensus preemptible;
};

// The endpoints of one pool as the platform's store lists them.
struct PoolCensus
{
    std::map<units::FailureDomain, DomainCensus> domains;

    int ready() const;
};

PoolCensus takeCensus(const std::vector<routing::DiscoveredEndpoint> &endpoints);

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_POOLCENSUS_H
