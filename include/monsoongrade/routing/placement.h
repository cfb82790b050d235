#ifndef MONSOONGRADE_ROUTING_PLACEMENT_H
#define MONSOONGRADE_ROUTING_PLACEMENT_H

#include <monsoongrade/routing/endpointroster.h>
#include <monsoongrade/routing/prefixmemory.h>
#include <monsoongrade/routing/requestfacts.h>

#include <vector>

namespace monsoongrade::routing {

// What placement needs to know of one request.
struct PlacementQuery
{
    const RequestFacts &facts;
    bool runsModel = false;
    // Endpoints that already had this request and are not to get it again.
    const std::vector<units::EndpointId> &tried;
    units::FailureDomain ownDomain;
    units::TimePoint now;
};

struct PlacementChoice
{
    EndpointRoster::Status endpoint; // null if no endpoint accepts the request now
    // Prompt tokens that the endpoint has to read before its first event, as far as known here.
    std::int64_t tokensToRead = 0;
};

// Chooses the endpoint for a request.
//
// Model pools: all hosts rank the endpoints alike for a shared prompt part, by rendezvous hashing,
// so that the part is read once and not on every endpoint: a breakdown of 13,300 shared and 3,720
// own tokens takes 108 ms to read in full and 24 ms with the shared part cached, and the pool
// cannot carry a burst of full reads. A request goes to a lower-ranked endpoint if the higher ones
// have so much waiting to be read that reading the shared part again is quicker; the next ranks
// are the same on all hosts too, so a much-used part spreads to few endpoints.
//
// Other pools: the fewest open requests of this host, weighed by how often and how late the
// endpoint has answered lately; among equals the host's own failure domain, because bytes between
// domains cost.
class Placement
{
public:
    PlacementChoice choose(const std::vector<EndpointRoster::Status> &available,
                           const PlacementQuery &query);

    // The request was sent to the endpoint, which then holds its prompt parts.
    void onSent(const EndpointStatus &endpoint, const RequestFacts &facts, units::TimePoint now);

private:
    PlacementChoice chooseForModel(const std::vector<EndpointRoster::Status> &available,
                                   const PlacementQuery &query);

    PrefixMemory memory_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_PLACEMENT_H
