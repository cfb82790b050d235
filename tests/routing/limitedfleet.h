#ifndef MONSOONGRADE_TESTS_ROUTING_LIMITEDFLEET_H
#define MONSOONGRADE_TESTS_ROUTING_LIMITEDFLEET_H

#include "eventqueue.h"
#include "testwallclocks.h"

#include <limitedarrivals.h>

#include <monsoongrade/routing/coordinatorselector.h>
#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/requestplacer.h>
#include <monsoongrade/routing/sharedelegation.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hosts before engines that announce a rate limit, in virtual time. The hosts ask a coordinator to
// place their requests, as PlacementService does, and gossip about limits, as PeerGossip does.
// Checks what each engine gets from the hosts that it has told.
class LimitedFleet
{
public:
    struct Settings
    {
        unsigned seed = 1;
        std::size_t hosts = 81;
        std::size_t endpoints = 60;
        std::size_t limited = 10; // of them
        double limit = 2; // requests a second
        double requestsPerSecond = 700;
        std::size_t hostsWithoutCallers = 0; // the first ones; host 0 is the coordinator
        double lateAnswers = 0; // share of the coordinators' answers
        bool isOrderSplit = false; // every second host asks host 1 first
        // The coordinator answers nothing from then on; the others notice together 2.5 s later.
        std::optional<units::Duration> coordinatorLostAt;
        // A host that knows nothing starts and becomes coordinator; the others notice within 1 s.
        std::optional<units::Duration> coordinatorJoinsAt;
    };
    struct Result
    {
        int most = 0; // arrivals at an engine in a span of 4 s
        int allowed = 0;
        double used = 0; // of the limits, over the last seconds
    };

    explicit LimitedFleet(const Settings &settings);
    Result play();

private:
    struct Host
    {
        explicit Host(const units::WallClock &wallClock)
            : announcements(wallClock)
        {
        }

        ShareDelegation &shares() { return placer.shares(false); }

        double phase = 0; // of its turns, 0 to 1
        EndpointAnnouncements announcements;
        EndpointRegistry registry;
        RequestPlacer placer;
        CoordinatorSelector selector;
        std::vector<std::string> order;
        bool isRunning = true;
    };
    struct Engine
    {
        bool isLimited = false;
        tests::LimitedArrivals arrivals;
        int lastArrivals = 0; // all of the last seconds
    };
    struct Request
    {
        std::size_t host = 0;
        PlacementTicket ticket;
        PlacementQuery query;
        std::optional<RateLimitUpdate> limit; // that the coordinator did not know
    };
    void schedule(units::Duration delay, std::function<void()> run);
    static std::string ipOf(std::size_t host) { return std::to_string(host); }
    void addHost();
    void setLimit(Host &host, const EndpointInstance &endpoint);
    void gossip(std::size_t host);
    void receive(std::size_t host, const RateLimitUpdate &update);
    void lendIdleShare(std::size_t host);
    void begin();
    void ask(Request request);
    PlacementChoice placeAt(std::size_t placing, const Request &request);
    void placeLocally(const Request &request);
    void onAnswer(Request request, std::size_t placing, const PlacementChoice &choice);
    void send(const Request &request, std::size_t placing, const PlacementChoice &choice);
    void loseCoordinator();
    void joinCoordinator();
    Result result() const;

    Settings settings_;
    std::mt19937 random_;
    LongAgoWallClock wallClock_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<Engine> engines_;
    EventQueue events_;
    std::uint64_t lastNumber_ = 0;
    units::TimePoint now_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_LIMITEDFLEET_H
