#ifndef MONSOONGRADE_ROUTING_RATELIMITTABLE_H
#define MONSOONGRADE_ROUTING_RATELIMITTABLE_H

#include <monsoongrade/routing/ratelimitupdate.h>

#include <cstddef>
#include <map>
#include <vector>

namespace monsoongrade::routing {

// The latest limits that endpoints have named to any host, and what of them is to be told. A host
// that places requests sees only the answers to its own callers, so it may never hear from the
// endpoint itself.
class RateLimitTable
{
public:
    // An answer, here or at another host, named this limit or none. False if a later answer is
    // known, or if the endpoint has had no limit all along.
    bool update(const EndpointInstance &endpoint, std::optional<RequestsPerSecond> limit,
                units::TimePoint at);
    // What to tell other hosts in this round: changes, some rounds long, and limits in force now
    // and then, for hosts that were away.
    std::vector<RateLimitUpdate> takeUpdates(std::size_t maxItems, units::TimePoint now);

    // Endpoints that have a limit now.
    std::size_t limited() const;
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::optional<RequestsPerSecond> limit;
        units::TimePoint heardAt;
        int roundsLeft = 0;
        units::TimePoint toldAt;
    };

    std::map<EndpointInstance, Entry> entries_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RATELIMITTABLE_H
