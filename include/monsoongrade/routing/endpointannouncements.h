#ifndef MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H
#define MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H

#include <monsoongrade/routing/leavingupdate.h>
#include <monsoongrade/routing/ratelimitupdate.h>
#include <monsoongrade/units/wallclock.h>

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace monsoongrade::routing {

// What endpoints have announced about themselves in responses to any host, and the updates about it
// to send to other hosts. A host that places requests sees only the responses to its own callers,
// so it may never get a response from the endpoint itself.
//
// Announcements end only with a restart of the endpoint, since the store's entry may be older than
// the response or unreachable. A response does not tell which start of the endpoint sent it. It is
// recorded for the start that the host knows, but concerns every start listed later that is not
// after the announcement: the endpoint may have restarted without the host being able to read it,
// and other writers may put a wrong start, or none, into its entry.
class EndpointAnnouncements
{
public:
    // A start that the store lists for an endpoint which announced its leaving under another one.
    struct OtherStart
    {
        Incarnation announcedFor;
        bool isLater = false; // than the announcement, so that the endpoint may be used
        units::Duration age{}; // of the announcement
    };

    // wallClock: the time of day on which most hosts agree.
    explicit EndpointAnnouncements(const units::WallClock &wallClock);

    // A response to this or another host announced these limits or none. Returns false if a later
    // response is known, or if the endpoint had no limits before and has none now.
    bool setLimits(const EndpointInstance &endpoint, const AnnouncedLimits &limits,
                   units::TimePoint at);
    // The limits that the process which the store lists has announced last; null if no response of
    // it is known, or if it has always announced none.
    const AnnouncedLimits *limitsOf(const EndpointInstance &listed) const;
    // The same as an update for another host; empty if the process has announced nothing.
    std::optional<RateLimitUpdate> limitUpdateOf(const EndpointInstance &listed,
                                                 units::TimePoint now) const;
    // Updates for this gossip round: changes, repeated for several rounds, and at intervals the
    // limits in force, for hosts that were disconnected. Those sent least recently come first.
    std::vector<RateLimitUpdate> takeLimitUpdates(std::size_t maxItems, units::TimePoint now);
    // All limits in force, for a host that has just started or was disconnected.
    std::vector<RateLimitUpdate> limitsInForce(units::TimePoint now) const;

    // A response to this or another host announced that the endpoint is leaving. at: when its
    // request was sent, since the process that responded cannot have started later. Returns false
    // if that was known.
    bool setLeaving(const EndpointInstance &endpoint, units::TimePoint at);
    // The store lists this start of the endpoint. Returns what that means for its announcement of
    // leaving, if there is one for another start, once for each start listed.
    std::optional<OtherStart> onListed(const EndpointInstance &listed, units::TimePoint now);
    // Whether the process that the store lists has announced that it is leaving. If the store lists
    // another start that is not later, this holds for a limited time only, as clocks differ and the
    // endpoint would be lost if it had restarted.
    bool isLeaving(const EndpointInstance &listed, units::TimePoint now) const;
    // Updates for this gossip round about endpoints that began to leave, repeated for several
    // rounds. Those sent least recently come first.
    std::vector<LeavingUpdate> takeLeavingUpdates(std::size_t maxItems, units::TimePoint now);
    // The latest of all, for a host that has just started or was disconnected.
    std::vector<LeavingUpdate> latestLeaving(std::size_t maxItems, units::TimePoint now) const;

    // The endpoint rejected a request of this host and wants no other from it for this time. Each
    // rejection counts by itself: a shorter pause does not end an earlier one.
    void addPause(const EndpointInstance &endpoint, std::chrono::duration<double> pause,
                  units::TimePoint now);
    // Time until this host may send to the endpoint again; zero if it may now.
    units::Duration pauseRemaining(const EndpointInstance &listed, units::TimePoint now) const;
    // Instances that have asked this host for a pause which has not ended.
    std::vector<EndpointInstance> paused(units::TimePoint now) const;

    // Whether this host may send requests to the endpoint.
    bool allowsRequests(const EndpointInstance &listed, units::TimePoint now) const
    {
        return !isLeaving(listed, now) && pauseRemaining(listed, now) == units::Duration::zero();
    }

    // Number of endpoints that currently have a limit of requests, or of rejections.
    std::size_t limited() const;
    std::size_t brittle() const;
    std::size_t leaving() const { return leaving_.size(); }
    std::size_t size() const { return limits_.size() + leaving_.size() + pauses_.size(); }

private:
    struct Limit
    {
        AnnouncedLimits limits;
        units::TimePoint announcedAt;
        int roundsLeft = 0;
        units::TimePoint lastSentAt;
    };
    struct Leaving
    {
        units::TimePoint firstAnnouncedAt;
        units::TimePoint lastAnnouncedAt;
        int roundsLeft = 0;
        units::TimePoint lastSentAt;
        std::optional<Incarnation> lastOtherStart; // the last one that was reported as listed
        std::optional<units::TimePoint> inDoubtSince; // a start that is not later was first listed
    };
    struct Pause
    {
        units::TimePoint askedAt; // the latest time
        units::TimePoint until;
    };

    const std::pair<const EndpointInstance, Limit> *
    latestLimitFor(const EndpointInstance &listed) const;
    std::size_t count(std::optional<RequestsPerSecond> AnnouncedLimits::*limit) const;
    bool eraseOtherLimits(const EndpointInstance &endpoint, units::TimePoint at);
    bool isLaterStart(Incarnation start, units::TimePoint announcedAt) const;

    const units::WallClock &wallClock_;
    std::map<EndpointInstance, Limit> limits_;
    std::map<EndpointInstance, Leaving> leaving_;
    std::map<EndpointInstance, Pause> pauses_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTANNOUNCEMENTS_H
