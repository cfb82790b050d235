#ifndef MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H
#define MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H

#include <monsoongrade/routing/ratelimitupdate.h>

#include <cstddef>
#include <map>
#include <vector>

namespace monsoongrade::routing {

// What endpoints have announced about themselves in responses to any host, and the updates about it
// to send to other hosts. A host that places requests sees only the responses to its own callers,
// so it may never get a response from the endpoint itself.
class EndpointAnnouncements
{
public:
    // A response to this or another host announced this rate limit or none. Returns false if a
    // later response is known, or if the endpoint had no limit before and has none now.
    bool setLimit(const EndpointInstance &endpoint, std::optional<RequestsPerSecond> limit,
                  units::TimePoint at);
    // Updates for this gossip round: changes, repeated for several rounds, and at intervals the
    // limits in force, for hosts that were disconnected.
    std::vector<RateLimitUpdate> takeLimitUpdates(std::size_t maxItems, units::TimePoint now);

    // Number of endpoints that currently have a limit.
    std::size_t limited() const;
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::optional<RequestsPerSecond> limit;
        units::TimePoint announcedAt;
        int roundsLeft = 0;
        units::TimePoint lastSentAt;
    };

    std::map<EndpointInstance, Entry> entries_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H
