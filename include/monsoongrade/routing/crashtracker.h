#ifndef MONSOONGRADE_ROUTING_CRASHTRACKER_H
#define MONSOONGRADE_ROUTING_CRASHTRACKER_H

#include <monsoongrade/routing/crashexplanations.h>
#include <monsoongrade/routing/crashupdate.h>
#include <monsoongrade/routing/recentcompletions.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace monsoongrade::routing {

// Records which requests were running when endpoints crashed, on this host and on others, and
// quarantines a request that was running in several crashes. Every client attempt has its own id,
// so without this a request that crashes engines would be sent to one engine after another for as
// long as callers retry it, and each crash would also fail the requests running beside it.
//
// A request that merely ran beside one that crashes engines is completed by a later attempt, which
// clears it. A request that was completed within the last minute is not counted at all: many
// callers may send the same request, and the simultaneous loss of several endpoints must not
// quarantine it, since no attempt could clear it then. A connection that broke for another reason
// counts until its endpoint responds to something.
//
// A crash counts only as far as nothing else explains it. One that follows rejections of requests
// which were sent without regard to how many the endpoint survives counts against no request, on
// any host: the host that received such a rejection tells the others. Any other crash of a brittle
// endpoint counts half, since rejections may be to blame of which no host knows.
//
// Parts that prompts share are tracked like requests: a part may crash endpoints in requests of
// which no two are alike. It comes with other parts, which sound requests share. Those are cleared
// when such a request is completed; until then, a crash counts against the quarantined part that is
// furthest back in the prompt.
class CrashTracker
{
public:
    // Number of different crashed endpoints after which a request or part is quarantined; twice as
    // many if they are brittle.
    static constexpr std::size_t CrashesToQuarantine = 3;

    // The endpoint crashed while running the request for this host. partPosition: 0, or the
    // position of the prompt part that is to be tracked, counted from 1.
    void onCrash(const RequestIdentity &request, const EndpointInstance &endpoint,
                 units::TimePoint now, int partPosition = 0);
    // The request received a complete response on this host.
    void onCompleted(const RequestIdentity &request, units::TimePoint now);
    // The endpoint responded to something that this host sent at sentAt.
    void onAnswered(const EndpointInstance &endpoint, units::TimePoint sentAt);
    // The endpoint announced to this or another host that it survives only so many rejections.
    void onBrittle(const EndpointInstance &endpoint, units::TimePoint now);
    // The endpoint rejected a request that this host had sent without regard to that number.
    void onRejected(const EndpointInstance &endpoint, units::TimePoint now);
    // Ends the quarantine on all hosts. Crashes from now on count again.
    void lift(const RequestIdentity &request, units::TimePoint now);
    // Applies an update from another host. Updates may arrive repeatedly and in any order.
    void receive(const CrashUpdate &update, units::TimePoint now);

    // Time until the request may run again; empty if it is not quarantined. Doubles with each
    // further crash.
    std::optional<units::Duration> quarantineRemaining(const RequestIdentity &request,
                                                       units::TimePoint now) const;
    std::size_t quarantinedCount(units::TimePoint now) const;
    // Quarantined requests for which this host observed a crash.
    std::vector<RequestIdentity> locallyQuarantined(units::TimePoint now) const;
    std::vector<CrashUpdate> crashesOf(const RequestIdentity &request, units::TimePoint now) const;
    // Number of requests known to have been running when an endpoint crashed.
    std::size_t size() const { return records_.size(); }

    // Updates for one message of this gossip round: recent changes, repeated for several rounds
    // because messages may be lost, and the crashes of one quarantined request per round, in
    // rotation, for hosts that were disconnected.
    std::vector<CrashUpdate> takeUpdates(std::size_t maxItems, units::TimePoint now);
    // Crashes of all quarantined requests, at most maxItems, for a host that has just started.
    std::vector<CrashUpdate> quarantineUpdates(std::size_t maxItems, units::TimePoint now) const;

private:
    // Also limits the time in quarantine, which each further crash doubles.
    static constexpr std::size_t MaxCrashesKept = 10;

    struct Crash
    {
        EndpointInstance endpoint;
        units::TimePoint at;
        bool isOfBrittle = false;
    };
    // An endpoint that is listed in some record.
    struct SuspectedEndpoint
    {
        units::TimePoint lastCrashAt;
        std::optional<units::TimePoint> clearedUntil; // crashes before this time do not count
    };
    struct Record
    {
        std::vector<Crash> crashes; // ordered by time
        std::optional<units::TimePoint> completedAt;
        units::TimePoint changedAt;
        bool isLocallyObserved = false;
        int partPosition = 0;
    };
    using Records = std::map<RequestIdentity, Record>;
    struct PendingUpdate
    {
        CrashUpdate update;
        units::TimePoint at;
        int roundsLeft = 0;
    };

    static double blameFor(const Crash &crash);
    static double blameOf(const Record &record);
    static std::optional<units::TimePoint> quarantineEnd(const Record &record);
    bool isQuarantined(const Record &record, units::TimePoint now) const;
    bool isExplained(const Record &part) const;
    bool isQuarantineHidden(const Record &part) const;
    bool isExplainedElsewhere(const Crash &crash, const Record &part) const;
    static void appendCrashes(const Records::value_type &record, std::vector<CrashUpdate> &updates,
                              units::TimePoint now);
    bool clearIfCompleted(const CrashUpdate &crash, units::TimePoint at, units::TimePoint now);
    bool clearIfRejected(const EndpointInstance &endpoint, units::TimePoint crashAt);
    void eraseCrashesOf(const EndpointInstance &endpoint);
    bool apply(const CrashUpdate &update, units::TimePoint at, units::TimePoint now);
    bool addCrash(const CrashUpdate &update, units::TimePoint at, units::TimePoint now);
    bool clearEndpoint(const EndpointInstance &endpoint, units::TimePoint sentAt);
    bool clearRequest(const RequestIdentity &request, units::TimePoint at);
    void enqueue(const CrashUpdate &update, units::TimePoint at);
    void evictIfFull(units::TimePoint now);
    void removeOutdated(units::TimePoint now);

    Records records_;
    std::map<EndpointInstance, SuspectedEndpoint> suspects_;
    RecentCompletions completions_;
    CrashExplanations explanations_;
    std::deque<PendingUpdate> pending_;
    RequestIdentity lastResent_;
    units::TimePoint nextCleanupAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_CRASHTRACKER_H
