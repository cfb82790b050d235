#ifndef MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERPLANNER_H
#define MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERPLANNER_H

#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/prefixcache/cachetransfersources.h>
#include <monsoongrade/routing/prefixcache/prefixcacheindex.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace monsoongrade::routing::prefixcache {

// Decides whether an endpoint that lacks a prompt prefix copies it from one that holds it, and
// tracks how long the links of the sources are busy with the copies that were placed here. The
// copies that other hosts place at the same time are not known; they only make copies slower.
class CacheTransferPlanner
{
public:
    // Finds the sources of the prefix among its holders. available: all endpoints of the pool that
    // accept requests, ordered by id. excluded: endpoints that must not be used.
    CacheTransferSources sources(const CacheTransferDemand &demand,
                                 const std::vector<PrefixCacheIndex::Holder> *holders,
                                 const std::vector<EndpointRegistry::Status> &available,
                                 const std::vector<units::EndpointId> &excluded,
                                 units::TimePoint now) const;
    // A request with this copy was placed.
    void onPlaced(const CacheTransferPlan &plan, units::TimePoint now);

private:
    units::Duration waitFor(const units::EndpointId &source, units::TimePoint now) const;
    void removeIdle(units::TimePoint now);

    std::unordered_map<std::string, units::TimePoint> linksBusyUntil_; // by endpoint id
    units::TimePoint nextCleanupAt_{};
};

} // namespace monsoongrade::routing::prefixcache

#endif // MONSOONGRADE_ROUTING_PREFIXCACHE_CACHETRANSFERPLANNER_H
