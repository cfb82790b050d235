#ifndef MONSOONGRADE_ROUTING_SHORTPAUSERESERVE_H
#define MONSOONGRADE_ROUTING_SHORTPAUSERESERVE_H

#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/route.h>

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace monsoongrade::routing {

// True if the route's streams need an endpoint without long reads, because of its longest pause.
// Engines read a prompt in chunks between two steps of all streams. With a chunk, a step takes
// about 41 ms instead of 7, so an event of 5 tokens comes after 205 ms.
bool needsShortPauses(const Route &route, int tokensPerEvent);

// Keeps some endpoints of a model pool free of long reads, for streams whose events may be only a
// short time apart.
//
// The load it answers: a burst of long prompts beside summaries with pauses of at most 200 ms. With
// both on the same endpoints, 3,151 of 8,008 summaries had a first event in time and a pause that
// was too long, while their endpoint read one prompt after another.
//
// The endpoints are the first of the pool by a hash of their ids, so the same ones stay free while
// the need does not change and prompt parts on the others stay where they are.
class ShortPauseReserve
{
public:
    using Endpoints = std::unordered_set<const EndpointStatus *>;

    // A stream that needs short pauses was placed in the pool, or is no longer open.
    void opened(const units::PoolName &pool);
    void ended(const units::PoolName &pool);
    // The endpoints that are kept now: minSize or as many as the open streams need, at most half of
    // those that can be used. arriving: streams that are about to be placed.
    const Endpoints &endpoints(const units::PoolName &pool,
                               const std::vector<EndpointRegistry::Status> &available,
                               units::TimePoint now, std::size_t minSize, int arriving = 0);

private:
    struct Pool
    {
        int open = 0;
        std::size_t size = 0;
        units::TimePoint keepSizeUntil{};
        units::TimePoint chosenAt{};
        Endpoints endpoints;
    };

    static void choose(Pool &pool, const std::vector<EndpointRegistry::Status> &available,
                       units::TimePoint now);

    std::unordered_map<std::string, Pool> pools_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_SHORTPAUSERESERVE_H
