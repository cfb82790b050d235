#include <monsoongrade/scaling/poolcensus.h>

namespace monsoongrade::scaling {

int PoolCensus::ready() const
{
    int count = 0;
    for (const auto &[domain, census] : domains)
        count += census.ordinary.ready + census.preemptible.ready;
    return count;
}

PoolCensus takeCensus(const std::vector<routing::DiscoveredEndpoint> &endpoints)
{
    PoolCensus census;
    for (const routing::DiscoveredEndpoint &endpoint : endpoints) {
        DomainCensus &domain = census.domains[endpoint.failureDomain];
        KindCensus &kind = endpoint.preemptible ? domain.preemptible : domain.ordinary;
        ++(endpoint.draining ? kind.draining : kind.ready);
    }
    return census;
}

} // namespace monsoongrade::scaling
