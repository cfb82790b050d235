#ifndef MONSOONGRADE_GATEWAY_PLACEMENTSERVICE_H
#define MONSOONGRADE_GATEWAY_PLACEMENTSERVICE_H

#include <monsoongrade/gateway/datagramsocket.h>
#include <monsoongrade/gateway/ratelimitedlog.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/routing/coordinatorselector.h>
#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/requestplacer.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace monsoongrade::gateway {

namespace internal {
struct QueryMessage;
struct AnswerMessage;
struct EventMessage;
struct CachedPartsMessage;
struct EndpointSpeedsMessage;
struct StillWaitingMessage;
struct NotWaitingMessage;
struct LoanMessage;
} // namespace internal

// Places requests on endpoints. For model pools, and for others while their endpoints survive few
// rejections, the hosts agree on one serving host as the coordinator, which places the requests of
// all hosts and so knows the load of each endpoint. It tells its successors which prompt parts are
// cached on which endpoint. If the coordinator does not answer two queries within milliseconds,
// this host places the request itself with the load that it knows, so no request waits until the
// failure of a host is detected.
class PlacementService
{
public:
    using PlacedHandler = std::function<void(routing::PlacementTicket, routing::PlacementChoice)>;

    struct Settings
    {
        std::string ownIp;
        std::uint16_t port = 0; // the same on all hosts
        bool hasFairShares = false; // for workspaces, while requests are queued
    };

    PlacementService(asio::io_context &io, httpio::Timers &timers, Settings settings,
                     const routing::EndpointRegistry &registry,
                     routing::EndpointAnnouncements &announcements, RateLimitedLog &log);

    void start();
    // Sets the hosts that may be coordinator, in order of preference: in the whole fleet, and in
    // this host's cell for divided pools. Called several times a second; also sends the successors
    // which prompt parts this host has placed since the last call, and learned speeds of endpoints.
    void setCoordinatorRankings(std::vector<std::string> ofFleet, std::vector<std::string> ofCell);

    // The number of hosts that use the same endpoints, and this host's index among them, from 0.
    struct HostPosition
    {
        int hosts = 1;
        int ownIndex = 0;
    };
    // Sets the hosts that share the endpoints' limits: all, and those of this host's cell for
    // divided pools.
    void setLiveHosts(HostPosition inFleet, HostPosition inCell);
    // Sets the latest limits received from the endpoint. Returns whether they changed.
    bool setLimits(routing::EndpointStatus &endpoint, const routing::AnnouncedLimits &limits);
    // The part of each endpoint's limit that this host may use now for pools with a coordinator.
    double limitShare() const;
    // Sets the limits that were announced for the process that the store lists. One of which no
    // response is known is taken to survive as few rejections as the last of its pool that
    // announced them, since it may be the replacement of one that crashed.
    void applyKnownLimits(const routing::DiscoveredEndpoint &listed);
    // Another host received limits. source: where this host learned them from, for the log.
    void receiveLimits(const routing::RateLimitUpdate &update, std::string_view source);

    // Chooses an endpoint. Unless the request is withdrawn, calls placed once, possibly before this
    // function returns. Returns the number of the request's ticket.
    std::uint64_t place(const routing::PlacementQuery &query, PlacedHandler placed);
    // Cancels a request that is not placed yet.
    void withdraw(std::uint64_t number);
    // Reports an event of a placed request to the host that placed it.
    void report(const routing::PlacementTicket &ticket, routing::PlacementEvent event);
    // Sets the pools of the configuration in force.
    void setPools(const std::vector<routing::TrafficPool> &pools) { placer_.setPools(pools); }
    // Returns the IP of the host that chose the open request's endpoint.
    const std::string &placedBy(const routing::PlacementTicket &ticket) const;
    // True if this host chose the open request's endpoint.
    bool isPlacedHere(const routing::PlacementTicket &ticket) const
    {
        return coordinators_.count(ticket.number) == 0;
    }
    // Number of requests, of all hosts, that this host has placed and whose end was not reported.
    std::size_t openRequests() const { return placer_.openRequests(); }
    // Number of workspaces over their share of what this host places.
    std::size_t workspacesOverShare() { return placer_.workspacesOverShare(timers_.now()); }
    // Lowest and highest prefill speed of the endpoints relative to their pools. Empty if this host
    // is not coordinator, or has learned none.
    std::optional<std::pair<double, double>> speedRange() const;
    // True if place() could find an endpoint on this host.
    bool hasEndpoint(const routing::PlacementQuery &query) const;

private:
    // An answer takes a round trip of 2 to 3 ms. Requests of the most urgent class have 250 ms, of
    // which a lost datagram may cost a tenth.
    static constexpr auto AnswerTimeout = std::chrono::milliseconds(25);

    // A request that another host was asked to place.
    struct PendingQuery
    {
        routing::PlacementQuery query;
        PlacedHandler placed;
        std::string coordinator;
        units::TimePoint updatedAt; // when the times in query were last updated
        units::TimePoint sentAt;
        bool isWaiting = false; // in the coordinator's queue
        bool wasRepeated = false;
        // A limit that the coordinator did not know when it chose an endpoint.
        std::optional<routing::RateLimitUpdate> limit;
        httpio::Timers::Handle timeout;
    };
    // The rejections that an endpoint of a pool survives, as it announced.
    struct PoolRejections
    {
        std::optional<routing::RequestsPerSecond> rejections;
        units::TimePoint at;
    };
    const std::vector<std::string> &rankingFor(const units::PoolName &pool) const;
    std::vector<std::string> successors() const;
    bool isCoordinator() const;
    void updateSuccessors();
    void sendSpeeds(const std::vector<std::string> &hosts);
    void logSpeeds();
    void sendOrPlace(std::uint64_t number, PendingQuery pending);
    bool hasBrittleEndpoint(const units::PoolName &pool) const;
    void sendQuery(std::uint64_t number, const PendingQuery &pending);
    routing::ShareDelegation &sharesOf(const units::PoolName &pool);
    void lendIdleShares();
    void exportReturnCounts();
    void placeLocally(std::uint64_t number, const routing::PlacementQuery &query,
                      const PlacedHandler &placed);
    // Logs and counts the choice if it is a refusal.
    void noteRefusal(const routing::PlacementTicket &ticket,
                     const routing::PlacementChoice &choice);
    void logWithoutEndpoint(const routing::PlacementTicket &ticket,
                            const routing::UnavailableEndpoints &unavailable);
    void onTimeout(std::uint64_t number);
    bool isLostAfterTimeout(const std::string &host, units::TimePoint sentAt);
    void scheduleWaitingCheck();
    void checkWaiting();
    void onCheckTimeout(const std::string &host, units::TimePoint sentAt);
    void onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender);
    void onMessage(const std::string &host, internal::QueryMessage message);
    void onMessage(const std::string &host, const internal::AnswerMessage &message);
    void onMessage(const std::string &host, const internal::EventMessage &message);
    void onMessage(const std::string &host, const internal::CachedPartsMessage &message);
    void onMessage(const std::string &host, const internal::EndpointSpeedsMessage &message);
    void onMessage(const std::string &host, const internal::StillWaitingMessage &message);
    void onMessage(const std::string &host, const internal::NotWaitingMessage &message);
    void onMessage(const std::string &host, const internal::LoanMessage &message);
    void schedulePlaceWaiting();
    void placeWaitingWithin(units::Duration delay);
    void placeWaiting();

    DatagramSocket socket_;
    httpio::Timers &timers_;
    Settings settings_;
    const routing::EndpointRegistry &registry_;
    routing::EndpointAnnouncements &announcements_;
    RateLimitedLog &log_;
    observability::Metrics &metrics_;
    std::vector<std::string> fleetRanking_;
    std::vector<std::string> cellRanking_;
    routing::RequestPlacer placer_;
    std::unordered_map<std::uint64_t, PendingQuery> pending_;
    routing::CoordinatorSelector selector_;
    // Timeouts of unanswered checks for waiting requests, by host.
    std::unordered_map<std::string, httpio::Timers::Handle> openChecks_;
    // Hosts that placed this host's open requests, other than this host, by number.
    std::unordered_map<std::uint64_t, std::string> coordinators_;
    std::unordered_map<std::uint64_t, PlacedHandler> localWaiting_; // in this host's queue
    std::uint64_t lastNumber_;
    std::unordered_map<std::string, PoolRejections> poolRejections_; // latest of each pool
    // This host's index divided by the number of hosts.
    double fleetPhase_ = 0;
    double cellPhase_ = 0;
    std::optional<units::TimePoint> placingAt_; // of the next call of placeWaiting()
    httpio::Timers::Handle placingTimer_;
    bool isCheckScheduled_ = false;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_PLACEMENTSERVICE_H
