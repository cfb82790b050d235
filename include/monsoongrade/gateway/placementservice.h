#ifndef MONSOONGRADE_GATEWAY_PLACEMENTSERVICE_H
#define MONSOONGRADE_GATEWAY_PLACEMENTSERVICE_H

#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/routing/coordinatorselector.h>
#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/requestplacer.h>

#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace monsoongrade::gateway {

namespace internal {
struct AskMessage;
struct AnswerMessage;
struct NewsMessage;
struct CachedPartsMessage;
struct StillWaitingMessage;
struct NotWaitingMessage;
} // namespace internal

// Places requests on endpoints, with the help of the other hosts for model pools: the hosts agree
// on one of those that serve, which places the requests of all and so knows the load of each
// endpoint, and tells those that would take over what is cached where. If that host does not answer
// two asks within milliseconds, this one decides alone with what it knows; nobody waits for a
// failed host to be noticed.
class PlacementService
{
public:
    using Placed = std::function<void(routing::PlacementTicket, routing::PlacementChoice)>;

    struct Settings
    {
        std::string ownIp;
        std::uint16_t port = 0; // the same on all hosts
    };

    PlacementService(asio::io_context &io, httpio::Timers &timers, Settings settings,
                     const routing::EndpointRegistry &registry, observability::Metrics &metrics);

    void start() { receive(); }
    // Hosts that may place for others, best first: of the whole fleet, and of this host's cell for
    // pools that are divided. Called several times a second; also tells the successors what this
    // host has placed.
    void setOrders(std::vector<std::string> ofFleet, std::vector<std::string> ofCell);

    // Hosts that share the limit of an endpoint where each places for itself, and this one's place
    // among them, from 0.
    void setLiveHosts(int hosts, int ownPlace);
    // The endpoint's latest word on its limit. Returns whether it changed.
    bool setLimit(routing::EndpointStatus &endpoint,
                  std::optional<routing::RequestsPerSecond> limit);

    // Chooses an endpoint; placed is called once, perhaps before this returns, unless the request
    // is withdrawn. Returns the number of its ticket.
    std::uint64_t place(const routing::PlacementQuery &query, Placed placed);
    // The request that waits for its endpoint is over.
    void withdraw(std::uint64_t number);
    void tell(const routing::PlacementTicket &ticket, routing::PlacementEvent news);
    // The host that chose the endpoint of the open request; this one's own IP if it did.
    const std::string &placedBy(const routing::PlacementTicket &ticket) const;
    // True if this host chose the endpoint of the open request itself.
    bool isPlacedHere(const routing::PlacementTicket &ticket) const
    {
        return deciders_.count(ticket.number) == 0;
    }
    // Requests of all hosts that this one has placed and not heard the end of.
    std::size_t openRequests() const { return desk_.openRequests(); }
    // True if place() could find an endpoint here.
    bool hasEndpoint(const routing::PlacementQuery &query) const;

private:
    struct Ask
    {
        routing::PlacementQuery query;
        Placed placed;
        std::string decider;
        units::TimePoint askedAt; // when query was last brought up to date
        units::TimePoint sentAt;
        bool isWaiting = false; // in the decider's queue
        bool wasRepeated = false;
        httpio::Timers::Handle timeout;
    };
    const std::vector<std::string> &orderFor(const units::PoolName &pool) const;
    std::vector<std::string> successors() const;
    void tellSuccessors();
    void ask(std::uint64_t number, Ask ask);
    void placeAlone(std::uint64_t number, const routing::PlacementQuery &query,
                    const Placed &placed);
    void onTimeout(std::uint64_t number);
    bool isLostAfterMiss(const std::string &host, units::TimePoint asked);
    void planWaitingCheck();
    void checkWaiting();
    void onCheckUnanswered(const std::string &host, units::TimePoint asked);
    void receive();
    void onDatagram(std::string_view datagram);
    void onMessage(const std::string &host, const internal::AskMessage &message);
    void onMessage(const std::string &host, const internal::AnswerMessage &message);
    void onMessage(const std::string &host, const internal::NewsMessage &message);
    void onMessage(const std::string &host, const internal::CachedPartsMessage &message);
    void onMessage(const std::string &host, const internal::StillWaitingMessage &message);
    void onMessage(const std::string &host, const internal::NotWaitingMessage &message);
    void placeWaitingSoon();
    void placeWaiting();
    void send(const std::string &ip, const std::string &datagram);

    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 4096> buffer_{};
    httpio::Timers &timers_;
    Settings settings_;
    const routing::EndpointRegistry &registry_;
    observability::Metrics &metrics_;
    std::vector<std::string> orderOfFleet_;
    std::vector<std::string> orderOfCell_;
    routing::RequestPlacer desk_;
    std::unordered_map<std::uint64_t, Ask> asks_;
    routing::CoordinatorSelector trust_;
    // Checks of waiting requests that are not answered yet, by host.
    std::unordered_map<std::string, httpio::Timers::Handle> openChecks_;
    // Who placed an open request, unless this host did.
    std::unordered_map<std::uint64_t, std::string> deciders_;
    std::unordered_map<std::uint64_t, Placed> ownWaiting_; // placed here, by number
    std::uint64_t lastNumber_;
    double phase_ = 0; // this host's place among the live ones, 0 to 1
    bool isPlacingPlanned_ = false;
    bool isCheckPlanned_ = false;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_PLACEMENTSERVICE_H
