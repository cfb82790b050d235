#ifndef MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERSOURCES_H
#define MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERSOURCES_H

#include <monsoongrade/routing/discoveredendpoint.h>
#include <monsoongrade/routing/prefixcache/cachetransferdemand.h>
#include <monsoongrade/routing/prefixcache/cachetransferplan.h>

#include <vector>

namespace monsoongrade::routing::prefixcache {

// The best sources of one prefix for one request: one for each failure domain, and one for the
// endpoints of other domains. Found once a request, since a request has hundreds of candidates.
class CacheTransferSources
{
public:
    explicit CacheTransferSources(const CacheTransferDemand &demand);

    // False if no copy is worth it, even over an idle link.
    bool isCopyUseful() const;
    // Adds an endpoint that holds the prefix. wait: until its link is free. lastSent: when a
    // request with the prefix was last sent to it; among equal sources the one that used it last is
    // least likely to have evicted it.
    void add(const DiscoveredEndpoint &endpoint, units::Duration wait, units::TimePoint lastSent);
    // The copy to an endpoint that lacks the prefix; null if the endpoint should prefill it. A
    // source in the failure domain of the endpoint is preferred, because traffic between domains is
    // charged. The software versions must be equal, as the format of cached entries may change.
    const CacheTransferPlan *planFor(const DiscoveredEndpoint &endpoint) const;

private:
    struct Best
    {
        units::SoftwareVersion softwareVersion;
        units::FailureDomain failureDomain; // of the source
        CacheTransferPlan plan;
        units::TimePoint lastSent;
    };

    bool isUseful(units::Duration duration) const;
    void improve(std::vector<Best> &best, bool isWithinDomain, const DiscoveredEndpoint &endpoint,
                 units::Duration wait, units::TimePoint lastSent) const;

    CacheTransferDemand demand_;
    units::Duration prefillTime_; // of the prefix
    units::Duration linkTime_; // of a copy within a failure domain
    std::vector<Best> withinDomain_; // by software version and failure domain
    std::vector<Best> betweenDomains_; // by software version
};

} // namespace monsoongrade::routing::prefixcache

#endif // MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERSOURCES_H
