#ifndef MONSOONGRADE_ROUTING_REQUESTPLACER_H
#define MONSOONGRADE_ROUTING_REQUESTPLACER_H

#include <monsoongrade/routing/endpointloads.h>
#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/performance/endpointspeedmodel.h>
#include <monsoongrade/routing/performance/learnedendpointspeeds.h>
#include <monsoongrade/routing/performance/prefillperiods.h>
#include <monsoongrade/routing/performance/prefillrate.h>
#include <monsoongrade/routing/performance/prefillsizes.h>
#include <monsoongrade/routing/placementquery.h>
#include <monsoongrade/routing/prefixcache/cachetransferplanner.h>
#include <monsoongrade/routing/prefixcache/highestprefillrate.h>
#include <monsoongrade/routing/prefixcache/prefixcacheindex.h>
#include <monsoongrade/routing/queueing/prefillqueue.h>
#include <monsoongrade/routing/queueing/refusaldetails.h>
#include <monsoongrade/routing/queueing/returnschedule.h>
#include <monsoongrade/routing/queueing/roomforecast.h>
#include <monsoongrade/routing/queueing/sizefairness.h>
#include <monsoongrade/routing/queueing/tierhold.h>
#include <monsoongrade/routing/queueing/workspaceshares.h>
#include <monsoongrade/routing/sharedelegation.h>
#include <monsoongrade/routing/shortpausereserve.h>
#include <monsoongrade/routing/trafficpool.h>
#include <monsoongrade/routing/unavailableendpoints.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoongrade::routing {

// A shared prompt part that an endpoint has in its prefix cache.
struct CachedPart
{
    std::string part;
    units::EndpointId endpoint;
    Incarnation incarnation;
};

// What happened to a placed request.
enum class PlacementEvent : std::uint8_t {
    FirstEvent, // its prefill has ended
    Completed,
    EndpointFailed, // its connection to the endpoint broke
    EndpointSilent, // still open, but its host receives nothing from the endpoint
    Withdrawn, // ended without a result that indicates the endpoint's health
    EndpointPaused, // rejected: the endpoint asked the requesting host for a pause
};

struct PlacementChoice
{
    EndpointRegistry::Status endpoint; // null if no endpoint accepts the request now
    // Prompt tokens that the endpoint has to prefill before its first event, as far as known here.
    std::int64_t tokensToRead = 0;
    bool isWaiting = false; // queued; a later call of placeWaiting() places it
    // Set if the request is refused because of a long queue: when its client should retry.
    std::optional<units::Duration> retryDelay;
    bool isLimited = false; // counted against the endpoint's rate limit
    bool isWithinSlots = false; // counted against its slots, as it survives few rejections
    // Expected time from sending the request to its first event; 0: unknown.
    units::Duration expectedFirstEvent{};
    // With retryDelay: room is booked for the request at that time.
    bool isReturnScheduled = false;
    // Endpoint from which the chosen one copies cached prompt parts; empty: none.
    units::EndpointId cacheSource;
    // With retryDelay.
    std::optional<queueing::RefusalDetails> refusal;
    // Set if a request of a model pool found no endpoint.
    std::optional<UnavailableEndpoints> unavailable;
    // Whether it can wait for one of these.
    bool isRoomExpected() const { return unavailable && unavailable->isRoomExpected(); }
    // That copy, on the host that places the request.
    std::optional<prefixcache::CacheTransferPlan> cacheTransfer;
};

// Chooses endpoints for requests and tracks the load that it has placed on each.
//
// Model pools: one host, the placement coordinator, places the requests of all hosts, so that it
// knows each endpoint's outstanding prefill. The cost of an endpoint is its outstanding prefill
// tokens plus those of the request: the whole prompt, or only its own part if the shared part is
// cached. A prefill delays the streams that run on the endpoint, so the cost grows with their
// number. The sum is divided by the endpoint's speed. The cheapest endpoint is chosen. The prefill
// of a breakdown with 13,300 shared and 3,720 own tokens takes 108 ms in full and 24 ms with the
// shared part cached, and a pool can't sustain a burst of full prefills; a short prompt goes to an
// endpoint without long prefills. Where no endpoint is known to have the shared part, all hosts
// prefer the first endpoint by rendezvous hashing, so that cached parts are found when the
// coordinator changes or a host places locally.
//
// While all endpoints that could take a request are at their rate limits or without a slot, it is
// queued as well, whatever its size.
//
// A long prefill is queued here while every endpoint that could take it is busy with long ones:
// in a burst of uncached prompts the endpoints' queues would otherwise grow to seconds, with the
// short requests of higher tiers at their end. Queued requests are placed by tier, then those of
// workspaces within their share, then scheduled retries, then those that can still meet their
// target, by due time. A request that would wait too long is refused at once, see WaitForecaster;
// capacity is reserved for its retry, see ReturnSchedule. A request of a workspace over its share
// is not placed while others within theirs wait in its pool and tier.
//
// Streams with short event gaps have reserved endpoints, see ShortPauseReserve. They overflow to
// the others when those are full, and long prefills use reserved endpoints only as a last resort.
//
// Other pools: the endpoint with the fewest open requests, weighted by its recent failures and
// slowness; among equals the requesting host's failure domain, because traffic between domains is
// charged.
class RequestPlacer
{
public:
    // This host's share of endpoints' rate limits in divided pools, or in the others.
    ShareDelegation &shares(bool isPoolDivided)
    {
        return isPoolDivided ? cellShares_ : fleetShares_;
    }
    const ShareDelegation &shares(bool isPoolDivided) const
    {
        return isPoolDivided ? cellShares_ : fleetShares_;
    }
    // Places a request. It counts as open until an event ends it or it times out. Idempotent: an
    // open or queued ticket gets the same result again.
    PlacementChoice place(const PlacementTicket &ticket, const PlacementQuery &query,
                          const std::vector<EndpointRegistry::Status> &available,
                          units::TimePoint now);
    // Places the queued requests for which there is capacity, the most urgent first, and refuses
    // those that have expired.
    std::vector<std::pair<PlacementTicket, PlacementChoice>>
    placeWaiting(const EndpointRegistry &registry, units::TimePoint now);
    bool hasWaiting() const { return !queue_.isEmpty(); }
    bool isWaiting(const PlacementTicket &ticket) const { return queue_.find(ticket) != nullptr; }
    // The choice for an open request, to send it again if the message was lost.
    std::optional<PlacementChoice> choiceOf(const PlacementTicket &ticket) const;

    // Handles an event of a placed request. A failure that one host sees counts for all requests
    // placed here. EndpointSilent counts only if no host has had a result from the endpoint since
    // the request was placed: in an overload a first event takes longer than the silence timeout.
    // EndpointPaused lowers the rank of the endpoint for all hosts, because it is likely to reject
    // their requests too; one that survives few rejections gets fewer requests. Events of unknown
    // tickets are ignored.
    void onEvent(const PlacementTicket &ticket, PlacementEvent event, units::TimePoint now);
    // Another host refused the request, and told its caller to return after returnIn. Lower tiers
    // are then held on this host, too, in case it places requests itself.
    void onRefusedElsewhere(const PlacementQuery &query, units::Duration returnIn,
                            units::TimePoint now);
    // Sets the pools of the configuration in force.
    void setPools(const std::vector<TrafficPool> &pools);
    // Whether workspaces get fair shares while requests are queued. On by default.
    void setFairShares(bool areOn) { hasFairShares_ = areOn; }
    // Sets the speeds of the endpoints by which requests are placed; null: the learned ones.
    void setSpeedModel(const performance::EndpointSpeedModel *model) { speedModel_ = model; }
    // True if place() would find an endpoint.
    bool hasEndpoint(const PlacementQuery &query,
                     const std::vector<EndpointRegistry::Status> &available,
                     units::TimePoint now) const;

    // Takes the cached parts that are due to be announced to the standby coordinators.
    std::vector<CachedPart> takeNewCachedParts() { return std::exchange(unannouncedParts_, {}); }
    // Adds a part that another coordinator has placed.
    void addCachedPart(const CachedPart &part, units::TimePoint now);

    // Takes the counts of scheduled retries since the last call.
    queueing::ReturnSchedule::Counts takeReturnCounts() { return returns_.takeCounts(); }
    // Learned prefill speeds of the endpoints.
    performance::LearnedEndpointSpeeds &speeds() { return speeds_; }
    const performance::LearnedEndpointSpeeds &speeds() const { return speeds_; }

    std::size_t openRequests() const { return placed_.size(); }
    int openRequests(const EndpointStatus &endpoint) const;
    std::int64_t tokensToRead(const EndpointStatus &endpoint) const;
    // Number of workspaces over their share, counted once for each pool and tier.
    std::size_t workspacesOverShare(units::TimePoint now);

private:
    struct Placed
    {
        EndpointRegistry::Status endpoint;
        std::int64_t tokensToRead = 0;
        units::TimePoint at;
        bool needsShortPauses = false;
        bool isSolePrefill = false; // its endpoint had no other prefill when it was placed
        bool isStreaming = false; // has had its first event
        bool isLimited = false;
        bool isWithinSlots = false;
        int openRequests = 0; // of the endpoint when it was placed, including this one
        units::Duration expectedFirstEvent{};
        std::string sharedPart; // of a model request; may be empty
        units::EndpointId cacheSource;
    };
    // What the cost of all endpoints for one request depends on.
    struct CostBasis;
    // What a request costs on one endpoint.
    struct Assessment;
    using Candidates = std::vector<const EndpointRegistry::Status *>;

    PlacementChoice queueOrRefuse(const PlacementTicket &ticket, const PlacementQuery &query,
                                  PlacementChoice choice, std::size_t endpoints,
                                  bool isScheduledRetry, units::TimePoint now);
    PlacementChoice queueForPrefillOrRefuse(const PlacementTicket &ticket,
                                            const PlacementQuery &query, PlacementChoice choice,
                                            std::size_t endpoints, bool isScheduledRetry,
                                            units::TimePoint now);
    PlacementChoice queueForRoomOrRefuse(const PlacementTicket &ticket, const PlacementQuery &query,
                                         PlacementChoice choice, std::size_t endpoints,
                                         bool isScheduledRetry, units::TimePoint now);
    PlacementChoice placeYielding(const PlacementTicket &ticket, const EndpointRegistry &registry,
                                  units::TimePoint now);
    void enqueue(const PlacementTicket &ticket, const PlacementQuery &query,
                 std::int64_t tokensToRead, bool isScheduledRetry, units::TimePoint now);
    PlacementChoice refuseUntil(const PlacementQuery &query, units::Duration returnIn,
                                units::TimePoint now);
    PlacementChoice refuse(const PlacementQuery &query, queueing::RefusalDetails details,
                           units::TimePoint now);
    void countScheduledRetry(const PlacementChoice &choice);
    std::vector<PlacementTicket> nextToTry(units::TimePoint now);
    void updateShares(units::TimePoint now);
    bool isOverShare(const PlacementQuery &query) const;
    bool mustYield(const PlacementQuery &query) const;
    static bool needsTurnOrSlot(const PlacementChoice &choice, units::TimePoint now);
    units::Duration heldFor(const PlacementQuery &query, units::TimePoint now) const;
    PlacementChoice commit(const PlacementTicket &ticket, const PlacementQuery &query,
                           PlacementChoice choice, units::TimePoint now);
    PlacementChoice chooseForModel(const PlacementQuery &query,
                                   const std::vector<EndpointRegistry::Status> &available,
                                   units::TimePoint now);
    CostBasis costBasisFor(const PlacementQuery &query, const Candidates &candidates,
                           units::TimePoint now);
    Assessment assess(const EndpointRegistry::Status &endpoint, const PlacementQuery &query,
                      const CostBasis &basis, units::TimePoint now) const;
    // Relative to the mean of the endpoint's pool.
    double speedOf(const EndpointStatus &endpoint, units::TimePoint now) const;
    bool hasSlot(const EndpointStatus &endpoint, const RateShare &share,
                 units::TimePoint now) const;
    bool hasRoomInReserve(const EndpointStatus &endpoint, std::int64_t maxBacklog) const;
    Candidates candidatesFor(const PlacementQuery &query,
                             const std::vector<EndpointRegistry::Status> &available,
                             units::TimePoint now);
    PlacementChoice chooseLeastLoaded(const PlacementQuery &query,
                                      const std::vector<EndpointRegistry::Status> &available,
                                      units::TimePoint now) const;
    prefixcache::CacheTransferSources
    cacheSourcesFor(const PlacementQuery &query,
                    const std::vector<EndpointRegistry::Status> &available, units::TimePoint now);
    static const EndpointStatus *firstByHash(const PlacementQuery &query,
                                             const Candidates &candidates);
    // Measured rate of the endpoint; 0: unknown.
    double tokensPerMs(const EndpointStatus &endpoint, units::TimePoint now) const;
    units::Duration expectedFirstEvent(const EndpointStatus &endpoint, units::TimePoint now) const;
    void onFirstEvent(Placed &placed, units::TimePoint now);
    void learnRate(const Placed &placed, units::TimePoint now);
    void learnSpeed(const Placed &placed, units::TimePoint now);
    void release(const Placed &placed);
    void onEndpointSilent(const Placed &placed, units::TimePoint now);
    void removeExpired(units::TimePoint now);

    enum class Availability : std::uint8_t {
        Usable,
        Excluded,
        Suspended,
        RateLimited,
        WithoutSlot,
    };
    Availability availabilityOf(const EndpointStatus &endpoint, const PlacementQuery &query,
                                const RateShare &share, units::TimePoint now) const;
    bool isUsable(const EndpointStatus &endpoint, const PlacementQuery &query,
                  const RateShare &share, units::TimePoint now) const
    {
        return availabilityOf(endpoint, query, share, now) == Availability::Usable;
    }
    UnavailableEndpoints unavailableFor(const PlacementQuery &query,
                                        const std::vector<EndpointRegistry::Status> &available,
                                        units::TimePoint now) const;
    RateShare shareFor(const PlacementQuery &query, units::TimePoint now) const;

    ShareDelegation fleetShares_;
    ShareDelegation cellShares_;
    prefixcache::PrefixCacheIndex prefixCache_;
    prefixcache::CacheTransferPlanner cacheTransfers_;
    std::unordered_map<std::string, prefixcache::HighestPrefillRate> highestRates_; // by pool
    std::vector<CachedPart> unannouncedParts_;
    EndpointLoads loads_;
    std::map<PlacementTicket, Placed> placed_;
    performance::PrefillRates prefillRates_;
    performance::PrefillPeriods prefillPeriods_;
    performance::LearnedEndpointSpeeds speeds_;
    queueing::PrefillQueue queue_;
    // Queued requests for which there was room when they arrived, while higher tiers waited. Tried
    // after those in the next call of placeWaiting(), wherever they are in the queue.
    std::vector<PlacementTicket> yielding_;
    queueing::WaitForecaster forecaster_;
    queueing::RoomForecaster roomForecaster_;
    queueing::ReturnSchedule returns_;
    queueing::TierHold tierHold_;
    ShortPauseReserve reserve_;
    std::unordered_map<std::string, performance::PrefillSizes> prefillSizes_; // by pool
    queueing::SizeFairnessByTier sizeFairness_;
    queueing::WorkspaceShares workspaceShares_;
    bool hasFairShares_ = true;
    std::unordered_map<std::string, TrafficPool> pools_;
    const performance::EndpointSpeedModel *speedModel_ = nullptr; // in place of speeds_
    units::TimePoint nextCleanupAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_REQUESTPLACER_H
