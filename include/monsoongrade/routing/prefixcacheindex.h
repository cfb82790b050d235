#ifndef MONSOONGRADE_ROUTING_PREFIXCACHEINDEX_H
#define MONSOONGRADE_ROUTING_PREFIXCACHEINDEX_H

#include <monsoongrade/routing/discoveredendpoint.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace monsoongrade::routing {

// Remembers which endpoints have lately been sent a shared prompt part.
class PrefixCacheIndex
{
public:
    struct Holder
    {
        units::EndpointId endpoint;
        Incarnation incarnation;
        units::TimePoint lastSent;
        units::TimePoint lastTold;
    };

    // Returns true if the successors of this host should be told: it is new, or was told a while
    // ago.
    bool remember(const std::string &part, const DiscoveredEndpoint &endpoint,
                  units::TimePoint now);
    // Endpoints that were sent the part; some entries may be too old, see holds(). One lookup
    // serves a decision over all endpoints: with 60 of them, a lookup each took most of the time.
    const std::vector<Holder> *holders(const std::string &part) const;
    // True if the list has this start of the endpoint and the part is not too old.
    static bool holds(const std::vector<Holder> *holders, const DiscoveredEndpoint &endpoint,
                      units::TimePoint now);

private:
    void forgetOld(units::TimePoint now);

    std::unordered_map<std::string, std::vector<Holder>> parts_;
    units::TimePoint nextCleaning_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PREFIXCACHEINDEX_H
