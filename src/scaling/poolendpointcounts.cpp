#include <monsoongrade/scaling/poolendpointcounts.h>

namespace monsoongrade::scaling {

int PoolEndpointCounts::ready() const
{
    int count = 0;
    for (const auto &[domain, endpointCounts] : domains)
        count += endpointCounts.ordinary.ready + endpointCounts.preemptible.ready;
    return count;
}

PoolEndpointCounts countEndpoints(const std::vector<routing::DiscoveredEndpoint> &endpoints)
{
    PoolEndpointCounts endpointCounts;
    for (const routing::DiscoveredEndpoint &endpoint : endpoints) {
        DomainEndpointCounts &domain = endpointCounts.domains[endpoint.failureDomain];
        EndpointCounts &kind = endpoint.preemptible ? domain.preemptible : domain.ordinary;
        ++(endpoint.draining ? kind.draining : kind.ready);
    }
    return endpointCounts;
}

} // namespace monsoongrade::scaling
