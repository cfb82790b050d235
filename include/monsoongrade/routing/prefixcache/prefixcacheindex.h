#ifndef MONSOONGRADE_ROUTING_PREFIXCACHE_PREFIXCACHEINDEX_H
#define MONSOONGRADE_ROUTING_PREFIXCACHE_PREFIXCACHEINDEX_H

#include <monsoongrade/routing/discoveredendpoint.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace monsoongrade::routing::prefixcache {

// Tracks which endpoints have recently been sent a shared prompt part and so have it cached.
class PrefixCacheIndex
{
public:
    struct Holder
    {
        units::EndpointId endpoint;
        Incarnation incarnation;
        units::TimePoint lastSent;
        units::TimePoint lastAnnounced;
        // When the part can be copied from the endpoint; max: a first event is still awaited.
        units::TimePoint readyAt = units::TimePoint::max();
    };

    // Returns true if the standby coordinators should be notified: the entry is new, or its last
    // announcement is due for renewal.
    bool recordSent(const std::string &part, const DiscoveredEndpoint &endpoint,
                    units::TimePoint now);
    // Another host has sent the part to the endpoint; its first event is not reported here.
    void recordAnnounced(const std::string &part, const DiscoveredEndpoint &endpoint,
                         units::TimePoint now);
    // A request with the part, sent to the endpoint, had its first event.
    void recordPrefilled(const std::string &part, const DiscoveredEndpoint &endpoint,
                         units::TimePoint now);
    // Endpoints that were sent the part; entries may have expired, see holds(). One lookup serves
    // a decision over all endpoints: with 60 of them, a lookup each dominated the decision time.
    const std::vector<Holder> *holders(const std::string &part) const;
    // True if the list has an unexpired entry for this incarnation of the endpoint.
    static bool holds(const std::vector<Holder> *holders, const DiscoveredEndpoint &endpoint,
                      units::TimePoint now);
    // True if the holder's entry has not expired and its prefill of the part is done, so that the
    // part can be copied from it. An endpoint that still prefills it would be asked in vain.
    static bool isReady(const Holder &holder, units::TimePoint now);

private:
    void setReadyAt(const std::string &part, const DiscoveredEndpoint &endpoint,
                    units::TimePoint readyAt);
    void removeExpired(units::TimePoint now);

    std::unordered_map<std::string, std::vector<Holder>> parts_;
    units::TimePoint nextCleanupAt_{};
};

} // namespace monsoongrade::routing::prefixcache

#endif // MONSOONGRADE_ROUTING_PREFIXCACHE_PREFIXCACHEINDEX_H
