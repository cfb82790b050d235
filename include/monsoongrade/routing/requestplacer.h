#ifndef MONSOONGRADE_ROUTING_REQUESTPLACER_H
#define MONSOONGRADE_ROUTING_REQUESTPLACER_H

#include <monsoongrade/routing/endpointloads.h>
#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/placementquery.h>
#include <monsoongrade/routing/prefillqueue.h>
#include <monsoongrade/routing/prefillrate.h>
#include <monsoongrade/routing/prefixcacheindex.h>
#include <monsoongrade/routing/shortpausereserve.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace monsoongrade::routing {

// A shared prompt part that an endpoint has read.
struct CachedPart
{
    std::string part;
    units::EndpointId endpoint;
    Incarnation incarnation;
};

// What happened to a placed request.
enum class PlacementEvent : std::uint8_t {
    FirstEvent, // its prompt has been read
    Completed,
    EndpointFailed, // ended by a broken connection
    EndpointSilent, // still open, but its host gets nothing at all from the endpoint
    Withdrawn, // ended without a result that says anything about the endpoint
};

struct PlacementChoice
{
    EndpointRegistry::Status endpoint; // null if no endpoint accepts the request now
    // Prompt tokens that the endpoint has to read before its first event, as far as known here.
    std::int64_t tokensToRead = 0;
    bool isWaiting = false; // no choice yet: a later call of placeWaiting() makes it
    // Refused because of a long queue: when its client should come back.
    std::optional<units::Duration> retryDelay;
};

// Chooses endpoints for requests and keeps count of what it has placed on each.
//
// Model pools: the hosts let one of them place the requests of all, so that it knows what each
// endpoint still has to read. A request costs an endpoint the tokens that wait to be read there
// and those of the request itself: all of its prompt, or only its own part if the shared part is
// cached. Its read also holds up the streams that run there, so it costs more where many run. The
// cheapest endpoint gets it. Reading a breakdown of 13,300 shared and 3,720 own tokens takes 108 ms
// in full and 24 ms with the shared part cached, and the pool cannot carry a burst of full reads; a
// short prompt goes where nothing long waits. All hosts take the first endpoint by rendezvous
// hashing of the shared part for one that has it cached, so that parts stay where they are when
// another host takes over the placing, or when a host has to place alone.
//
// A long read waits here while every endpoint that could take it has long reads to do already: in
// a burst of cold prompts the endpoints' queues would else grow to seconds, with the short
// requests of higher tiers at their end. Waiting requests are placed by tier, then those first
// whose first event can still be on time, by the time at which it is due. A request whose wait
// would be too long is refused at once, see WaitForecaster.
//
// Streams with short pauses have endpoints of their own, see ShortPauseReserve; they overflow to
// the others when those are full, and long reads use them only if there is nothing else.
//
// Other pools: the fewest open requests, weighed by how often and how late the endpoint has
// answered lately; among equals the asking host's own failure domain, because bytes between
// domains cost.
class RequestPlacer
{
public:
    // This host's part of the limit of an endpoint where each host places for itself, 0 to 1.
    void setOwnShare(double share) { ownShare_ = share; }
    // Places a request. The choice counts as open until news of its end, or until it is too old. A
    // ticket that is open or waits gets the same answer again.
    PlacementChoice place(const PlacementTicket &ticket, const PlacementQuery &query,
                          const std::vector<EndpointRegistry::Status> &available,
                          units::TimePoint now);
    // Places those waiting requests for which there is room now, the most urgent first, and refuses
    // those that have become too late.
    std::vector<std::pair<PlacementTicket, PlacementChoice>>
    placeWaiting(const EndpointRegistry &registry, units::TimePoint now);
    bool hasWaiting() const { return !waiting_.isEmpty(); }
    bool isWaiting(const PlacementTicket &ticket) const { return waiting_.find(ticket) != nullptr; }
    // The choice for an open request that was placed, in case the word of it was lost.
    std::optional<PlacementChoice> choiceOf(const PlacementTicket &ticket) const;

    // News of a placed request. Failures that one host meets count for all requests that are
    // placed here. Silence towards one host counts only if no other host got anything either
    // since the request was placed: in an overload a first event takes longer than the silence
    // that means a lost endpoint. News for an unknown ticket is ignored.
    void onEvent(const PlacementTicket &ticket, PlacementEvent news, units::TimePoint now);
    // True if place() would find an endpoint.
    bool hasEndpoint(const PlacementQuery &query,
                     const std::vector<EndpointRegistry::Status> &available,
                     units::TimePoint now) const;

    // Parts that were placed lately and not told to the successors for a while.
    std::vector<CachedPart> takeNewCachedParts() { return std::exchange(newParts_, {}); }
    // Another host has placed the part.
    void addCachedPart(const CachedPart &part, units::TimePoint now);

    std::size_t openRequests() const { return placed_.size(); }
    int openRequests(const EndpointStatus &endpoint) const;
    std::int64_t tokensToRead(const EndpointStatus &endpoint) const;

private:
    struct Placed
    {
        EndpointRegistry::Status endpoint;
        std::int64_t tokensToRead = 0;
        units::TimePoint at;
        bool needsShortPauses = false;
        bool isOnlyRead = false; // its endpoint had nothing else to read when it was placed
        bool isStreaming = false; // had its first event
    };
    using Candidates = std::vector<const EndpointRegistry::Status *>;

    PlacementChoice queueOrRefuse(const PlacementTicket &ticket, const PlacementQuery &query,
                                  PlacementChoice choice, std::size_t endpoints,
                                  units::TimePoint now);
    PlacementChoice commit(const PlacementTicket &ticket, const PlacementQuery &query,
                           PlacementChoice choice, units::TimePoint now);
    PlacementChoice chooseForModel(const PlacementQuery &query,
                                   const std::vector<EndpointRegistry::Status> &available,
                                   units::TimePoint now);
    bool hasRoomInReserve(const EndpointStatus &endpoint, std::int64_t maxToRead) const;
    Candidates candidatesFor(const PlacementQuery &query,
                             const std::vector<EndpointRegistry::Status> &available,
                             units::TimePoint now);
    PlacementChoice chooseForPlain(const PlacementQuery &query,
                                   const std::vector<EndpointRegistry::Status> &available,
                                   units::TimePoint now) const;
    static const EndpointStatus *firstByHash(const PlacementQuery &query,
                                             const Candidates &candidates);
    void noteFirstEvent(Placed &placed, units::TimePoint now);
    void end(const Placed &placed);
    void noteSilence(const Placed &placed, units::TimePoint now);
    void forgetOld(units::TimePoint now);

    bool isUsable(const EndpointStatus &endpoint, const PlacementQuery &query,
                  units::TimePoint now) const;
    double shareFor(const PlacementQuery &query) const;

    double ownShare_ = 1;
    PrefixCacheIndex memory_;
    std::vector<CachedPart> newParts_;
    EndpointLoads loads_;
    std::map<PlacementTicket, Placed> placed_;
    PrefillRates readSpeeds_;
    PrefillQueue waiting_;
    WaitForecaster forecaster_;
    ShortPauseReserve reserve_;
    units::TimePoint nextCleaning_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_REQUESTPLACER_H
