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
    void remember(const std::string &part, const units::EndpointId &endpoint,
                  Incarnation incarnation, units::TimePoint now);
    // True if the part was sent to this start of the endpoint not long ago.
    bool knows(const std::string &part, const units::EndpointId &endpoint, Incarnation incarnation,
               units::TimePoint now) const;

private:
    void forgetOld(units::TimePoint now);

    std::unordered_map<std::string, units::TimePoint> lastSent_; // by part, endpoint, incarnation
    units::TimePoint nextCleaning_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PREFIXMEMORY_H
