#ifndef MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H
#define MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H

#include <monsoongrade/routing/leavingupdate.h>
#include <monsoongrade/routing/ratelimitupdate.h>

#include <cstddef>
#include <map>
#include <vector>

namespace monsoongrade::routing {

// What endpoints have announced about themselves in responses to any host, and the updates about it
// to send to other hosts. A host that places requests sees only the responses to its own callers,
// so it may never get a response from the endpoint itself.
//
// Announcements belong to an instance. They hold whatever the store lists, since its entry may be
// older than the response or unreachable, and end only with a restart of the endpoint.
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

    // A response to this or another host announced that the endpoint is leaving; at: when. Returns
    // false if that was known.
    bool setLeaving(const EndpointInstance &endpoint, units::TimePoint at);
    bool isLeaving(const EndpointInstance &endpoint) const { return leaving_.count(endpoint) != 0; }
    // Updates for this gossip round about endpoints that began to leave, repeated for several
    // rounds.
    std::vector<LeavingUpdate> takeLeavingUpdates(std::size_t maxItems, units::TimePoint now);
    // The latest of all, for a host that has just started or was disconnected.
    std::vector<LeavingUpdate> latestLeaving(std::size_t maxItems, units::TimePoint now) const;

    // The endpoint rejected a request of this host and wants no other from it for this time. Each
    // rejection counts by itself: a shorter pause does not end an earlier one.
    void addPause(const EndpointInstance &endpoint, std::chrono::duration<double> pause,
                  units::TimePoint now);
    // Time until this host may send to the endpoint again; zero if it may now.
    units::Duration pauseRemaining(const EndpointInstance &endpoint, units::TimePoint now) const;
    // Instances that have asked this host for a pause which has not ended.
    std::vector<EndpointInstance> paused(units::TimePoint now) const;

    // Whether this host may send requests to the endpoint.
    bool allowsRequests(const EndpointInstance &endpoint, units::TimePoint now) const
    {
        return !isLeaving(endpoint) && pauseRemaining(endpoint, now) == units::Duration::zero();
    }

    // Number of endpoints that currently have a limit.
    std::size_t limited() const;
    std::size_t leaving() const { return leaving_.size(); }
    std::size_t size() const { return limits_.size() + leaving_.size() + pausedUntil_.size(); }

private:
    struct Limit
    {
        std::optional<RequestsPerSecond> limit;
        units::TimePoint announcedAt;
        int roundsLeft = 0;
        units::TimePoint lastSentAt;
    };
    struct Leaving
    {
        units::TimePoint announcedAt;
        int roundsLeft = 0;
    };

    std::map<EndpointInstance, Limit> limits_;
    std::map<EndpointInstance, Leaving> leaving_;
    std::map<EndpointInstance, units::TimePoint> pausedUntil_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H
