#ifndef MONSOONGRADE_ROUTING_PREFIXMEMORY_H
#define MONSOONGRADE_ROUTING_PREFIXMEMORY_H

#include <monsoongrade/routing/discoveredendpoint.h>

#include <string>
#include <unordered_map>

namespace monsoongrade::routing {

// Remembers which endpoints this host has lately sent a shared prompt part to.
class PrefixMemory
{
public:
    // Returns true if the successors of this host should be told: it is new, or was told a while
    // ago.
    bool remember(const std::string &part, const units::EndpointId &endpoint,
                  Incarnation incarnation, units::TimePoint now);
    // True if the part was sent to this start of the endpoint not long ago.
    bool knows(const std::string &part, const units::EndpointId &endpoint, Incarnation incarnation,
               units::TimePoint now) const;

private:
    void forgetOld(units::TimePoint now);

    struct Entry
    {
        units::TimePoint lastSent;
        units::TimePoint lastTold;
    };

    std::unordered_map<std::string, Entry> entries_; // by part, endpoint, incarnation
    units::TimePoint nextCleaning_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PREFIXMEMORY_H
