#ifndef MONSOONGRADE_ROUTING_PLACEMENTTICKET_H
#define MONSOONGRADE_ROUTING_PLACEMENTTICKET_H

#include <cstdint>
#include <string>

namespace monsoongrade::routing {

// Identifies a placement: the requesting host and a number that it assigned.
struct PlacementTicket
{
    std::string host; // IP
    std::uint64_t number = 0;

    friend bool operator<(const PlacementTicket &a, const PlacementTicket &b)
    {
        return a.number != b.number ? a.number < b.number : a.host < b.host;
    }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PLACEMENTTICKET_H
