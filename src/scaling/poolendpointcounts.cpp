#include <monsoongrade/scaling/poolendpointcounts.h>

namespace monsoongrade::scaling {

int PoolEndpointCounts::ready() const
{
    int count = 0;
    for (const auto &[domain, counts] : domains)
        count += counts.ordinary.ready + counts.preemptible.ready;
    return count;
}

PoolEndpointCounts countEndpoints(const std::vector<routing::DiscoveredEndpoint> &endpoints)
{
    PoolEndpointCounts counts;
    for (const routing::DiscoveredEndpoint &endpoint : endpoints) {
        DomainEndpointCounts &domain = counts.domains[endpoint.failureDomain];
        EndpointCounts &kind = endpoint.preemptible ? domain.preemptible : domain.ordinary;
        ++(endpoint.draining ? kind.draining : kind.ready);
    }
    return counts;
}

} // namespace monsoongrade::scaling
