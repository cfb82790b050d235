#ifndef MONSOONGRADE_ROUTING_CRASHTRACKER_H
#define MONSOONGRADE_ROUTING_CRASHTRACKER_H

#include <monsoongrade/routing/crashupdate.h>
#include <monsoongrade/routing/recentcompletions.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace monsoongrade::routing {

// Remembers which requests were running when endpoints crashed, on this host and on others, and
// quarantines a request under which several did. Every client attempt has an id of its own, so
// without this a request that crashes engines would be sent to one after the other for as long as
// callers repeat it, and take the requests beside it down each time.
//
// A request that only happened to run beside one that crashes engines is completed by a later
// attempt, which clears it. One that was answered within the last minute is not counted at all:
// many callers may send the same request, and the loss of some endpoints at once must not put it in
// quarantine, where no attempt could clear it. A connection that broke for another reason counts
// until its endpoint answers something.
class CrashTracker
{
public:
    // Crashes of different endpoints after which a request is quarantined.
    static constexpr std::size_t CrashesToQuarantine = 3;

    // The endpoint crashed while it ran the request for this host.
    void onCrash(const RequestIdentity &request, const EndpointInstance &endpoint,
                 units::TimePoint now);
    // The request was answered whole at this host.
    void onCompleted(const RequestIdentity &request, units::TimePoint now);
    // The endpoint answered this host something that was sent at this time.
    void onAnswered(const EndpointInstance &endpoint, units::TimePoint sentAt);
    // Another host's news. It may come repeatedly and in any order.
    void receive(const CrashUpdate &news, units::TimePoint now);

    // Time until the request may run again; none if it is not in quarantine. The time doubles with
    // each further crash.
    std::optional<units::Duration> quarantineRemaining(const RequestIdentity &request,
                                                       units::TimePoint now) const;
    std::size_t quarantinedCount(units::TimePoint now) const;
    // Quarantined requests under which an endpoint crashed at this host.
    std::vector<RequestIdentity> locallyQuarantined(units::TimePoint now) const;
    std::vector<CrashUpdate> crashesOf(const RequestIdentity &request, units::TimePoint now) const;
    // Requests that are known to have been running when an endpoint crashed.
    std::size_t size() const { return records_.size(); }

    // What to tell other hosts in this round, in one message: what is new, some rounds long, since
    // messages may be lost; beside it one quarantined request in turn, for hosts that were away.
    std::vector<CrashUpdate> takeUpdates(std::size_t maxItems, units::TimePoint now);
    // All crashes of quarantined requests, up to a number, for a host that has just started.
    std::vector<CrashUpdate> quarantineNews(std::size_t maxItems, units::TimePoint now) const;

private:
    struct Crash
    {
        EndpointInstance endpoint;
        units::TimePoint at;
    };
    // An endpoint that is in some record.
    struct Suspect
    {
        units::TimePoint brokeAt; // latest
        std::optional<units::TimePoint> answeredAt; // when the answered request was sent
    };
    struct Record
    {
        std::vector<Crash> crashes; // by time
        std::optional<units::TimePoint> completedAt;
        units::TimePoint changedAt;
        bool wasSeenHere = false;
    };
    using Records = std::map<RequestIdentity, Record>;
    struct Telling
    {
        CrashUpdate news;
        units::TimePoint at;
        int roundsLeft = 0;
    };

    static std::optional<units::TimePoint> quarantineEnd(const Record &record);
    static bool isQuarantined(const Record &record, units::TimePoint now);
    static void appendCrashes(const Records::value_type &record, std::vector<CrashUpdate> &news,
                              units::TimePoint now);
    bool isCleared(const CrashUpdate &crash, units::TimePoint at, units::TimePoint now);
    bool learn(const CrashUpdate &news, units::TimePoint at, units::TimePoint now);
    bool addCrash(const CrashUpdate &news, units::TimePoint at, units::TimePoint now);
    bool acquit(const EndpointInstance &endpoint, units::TimePoint sentAt);
    bool complete(const RequestIdentity &request, units::TimePoint at);
    void tellLater(const CrashUpdate &news, units::TimePoint at);
    void makeRoom(units::TimePoint now);
    void forgetOld(units::TimePoint now);

    Records records_;
    std::map<EndpointInstance, Suspect> suspects_;
    RecentCompletions completions_;
    std::deque<Telling> fresh_;
    RequestIdentity lastRepeated_;
    units::TimePoint nextCleaning_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CRASHTRACKER_H
