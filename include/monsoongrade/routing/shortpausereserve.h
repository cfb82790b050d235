#ifndef MONSOONGRADE_ROUTING_SHORTPAUSERESERVE_H
#define MONSOONGRADE_ROUTING_SHORTPAUSERESERVE_H

#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/route.h>

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace monsoongrade::routing {

// True if the route's maximum event gap requires an endpoint without long prefills. Engines prefill
// in chunks between two decoding steps of all streams. With a chunk, a step takes about 41 ms
// instead of 7, so an event of 5 tokens takes 205 ms.
bool needsShortPauses(const Route &route, int tokensPerEvent);

// Reserves some endpoints of a model pool for streams with a short maximum event gap, without long
// prefills.
//
// Needed when a burst of long prompts arrives together with summaries whose gaps may be at most
// 200 ms. On shared endpoints, 3,151 of 8,008 summaries had their first event in time but then too
// long a gap, while their endpoint prefilled one prompt after another.
//
// The reserved endpoints are the first of the pool by a hash of their ids, so that they stay the
// same while the need does not change, and parts cached on the others stay usable.
class ShortPauseReserve
{
public:
    using Endpoints = std::unordered_set<const EndpointStatus *>;

    // A stream that needs short gaps was placed in the pool, or has ended.
    void onStreamOpened(const units::PoolName &pool);
    void onStreamEnded(const units::PoolName &pool);
    // The reserved endpoints: as many as the open streams need, at least minSize, and at most half
    // of the usable ones. arriving: streams that are about to be placed.
    const Endpoints &endpoints(const units::PoolName &pool,
                               const std::vector<EndpointRegistry::Status> &available,
                               units::TimePoint now, std::size_t minSize, int arriving = 0);

private:
    struct Pool
    {
        int openStreams = 0;
        std::size_t size = 0;
        units::TimePoint keepSizeUntil{};
        units::TimePoint selectedAt{};
        Endpoints endpoints;
    };

    static void selectEndpoints(Pool &pool, const std::vector<EndpointRegistry::Status> &available,
                                units::TimePoint now);

    std::unordered_map<std::string, Pool> pools_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_SHORTPAUSERESERVE_H
