#include "eventqueue.h"
#include "testwallclocks.h"

#include <monsoongrade/routing/endpointannouncements.h>
#include <monsoongrade/routing/requestplacer.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr units::TimePoint Start{hours(1)};
constexpr auto NetworkDelay = milliseconds(2);
constexpr auto Pause = seconds(3);
// Requests that were under way when the endpoint rejected one may still arrive for this time.
constexpr auto InFlightTime = milliseconds(500);
constexpr auto RejectsFrom = seconds(4);
constexpr auto RejectsUntil = seconds(12);
constexpr auto Length = seconds(20);
constexpr double TokensPerMs = 157;
constexpr double RequestsPerSecond = 150;
const units::PoolName Pool("p");
const LongAgoWallClock LongAgo;

struct Outcome
{
    int asked = 0;
    int rejected = 0; // by an endpoint, while endpoints reject
    int refused = 0; // by the hosts, for want of an endpoint
    int maxArrivalsInPause = 0; // of one host at one endpoint
    int servedAfterwards = 0; // by endpoints that have rejected requests before
};

// Hosts whose requests one of them places, in virtual time. Some engines reject all requests for a
// while and ask each host that sends one for a pause. One host restarts meanwhile, and another is
// cut off and places its own requests.
class PauseSimulation
{
public:
    PauseSimulation(unsigned seed, std::size_t hosts, std::size_t endpoints, std::size_t rejecting)
        : random_(seed)
        , rejecting_(rejecting)
        , freeAt_(endpoints)
        , hosts_(hosts)
    {
        for (Host &host : hosts_)
            host.announcements = std::make_unique<EndpointAnnouncements>(LongAgo);
        for (std::size_t i = 0; i < endpoints; ++i) {
            DiscoveredEndpoint endpoint;
            endpoint.id = units::EndpointId(std::to_string(i));
            endpoint.pool = Pool;
            endpoint.slots = 128;
            registry_.update(endpoint);
        }
    }

    Outcome play()
    {
        std::exponential_distribution<double> gapMs(RequestsPerSecond / 1000);
        for (double at = 0; at < double(milliseconds(Length).count()); at += gapMs(random_)) {
            schedule(Start + milliseconds(std::int64_t(at)), [this] { ask(); });
        }
        schedule(Start + RejectsFrom + seconds(4), [this] { restart(1); });
        while (!events_.isEmpty()) {
            const EventQueue::Event next = events_.take();
            now_ = next.at;
            next.run();
            for (const auto &[ticket, choice] : placer_.placeWaiting(registry_, now_))
                onPlaced(placer_, ticket, choice);
        }
        return outcome_;
    }

private:
    struct Host
    {
        std::unique_ptr<EndpointAnnouncements> announcements;
        RequestPlacer placer; // used while the host is cut off
        std::map<std::string, std::vector<units::TimePoint>> rejections; // by endpoint
        std::map<std::string, std::vector<int>> arrivals; // after each of them
    };
    void schedule(units::TimePoint at, std::function<void()> run)
    {
        events_.schedule(at, std::move(run));
    }
    std::size_t hostOf(const PlacementTicket &ticket) const { return std::stoul(ticket.host); }
    bool isCutOff(std::size_t host) const
    {
        return host == 2 && now_ >= Start + seconds(5) && now_ < Start + seconds(8);
    }

    void ask()
    {
        ++outcome_.asked;
        const std::size_t host = random_() % hosts_.size();
        PlacementQuery query;
        query.pool = Pool;
        query.runsModel = true;
        query.sharedPart = std::to_string(random_() % 100);
        query.ownTokens = 500 + std::int64_t(random_() % 4000);
        query.promptTokens = query.ownTokens + 8000;
        query.targetIn = seconds(1);
        query.expiresIn = seconds(8);
        query.mayWait = true;
        place(host, query);
    }
    void place(std::size_t host, PlacementQuery query)
    {
        query.paused.clear();
        for (const EndpointInstance &endpoint : hosts_[host].announcements->paused(now_))
            query.paused.push_back(endpoint.id);
        query.mayWait = !isCutOff(host);
        RequestPlacer &placer = isCutOff(host) ? hosts_[host].placer : placer_;
        const PlacementTicket ticket{std::to_string(host), ++lastNumber_};
        queries_[ticket.number] = query;
        const PlacementChoice choice = placer.place(ticket, query, registry_.available(Pool), now_);
        if (!choice.isWaiting)
            onPlaced(placer, ticket, choice);
    }
    void onPlaced(RequestPlacer &placer, const PlacementTicket &ticket,
                  const PlacementChoice &choice)
    {
        if (choice.endpoint == nullptr) {
            ++outcome_.refused;
            return;
        }
        const std::size_t host = hostOf(ticket);
        const EndpointInstance endpoint = instanceOf(choice.endpoint->registration);
        if (!hosts_[host].announcements->allowsRequests(endpoint, now_)) {
            placer.onEvent(ticket, PlacementEvent::Withdrawn, now_);
            place(host, queries_[ticket.number]);
            return;
        }
        schedule(now_ + NetworkDelay, [this, &placer, ticket, endpoint, choice] {
            arrive(placer, ticket, endpoint, choice.tokensToRead);
        });
    }
    void arrive(RequestPlacer &placer, const PlacementTicket &ticket,
                const EndpointInstance &endpoint, std::int64_t tokens)
    {
        Host &host = hosts_[hostOf(ticket)];
        const std::string &id = endpoint.id.value();
        countArrival(host, id);
        const std::size_t index = std::stoul(id);
        const bool rejects
            = index < rejecting_ && now_ >= Start + RejectsFrom && now_ < Start + RejectsUntil;
        if (rejects) {
            ++outcome_.rejected;
            host.rejections[id].push_back(now_);
            host.arrivals[id].push_back(0);
            schedule(now_ + NetworkDelay, [this, &placer, &host, ticket, endpoint] {
                host.announcements->addPause(endpoint, Pause, now_);
                placer.onEvent(ticket, PlacementEvent::EndpointPaused, now_);
            });
            return;
        }
        if (index < rejecting_ && now_ >= Start + RejectsUntil)
            ++outcome_.servedAfterwards;
        const auto reading = milliseconds(std::int64_t(double(tokens) / TokensPerMs));
        freeAt_[index] = std::max(freeAt_[index], now_) + reading;
        schedule(freeAt_[index], [this, &placer, ticket] {
            placer.onEvent(ticket, PlacementEvent::FirstEvent, now_);
        });
        schedule(freeAt_[index] + milliseconds(500), [this, &placer, ticket] {
            placer.onEvent(ticket, PlacementEvent::Completed, now_);
        });
    }
    void countArrival(Host &host, const std::string &endpoint)
    {
        const std::vector<units::TimePoint> &rejections = host.rejections[endpoint];
        for (std::size_t i = 0; i < rejections.size(); ++i) {
            const bool isInPause
                = now_ > rejections[i] + InFlightTime && now_ < rejections[i] + Pause;
            if (isInPause)
                outcome_.maxArrivalsInPause
                    = std::max(outcome_.maxArrivalsInPause, ++host.arrivals[endpoint][i]);
        }
    }
    // A restarted host does not know what endpoints asked of its last run.
    void restart(std::size_t host)
    {
        hosts_[host].announcements = std::make_unique<EndpointAnnouncements>(LongAgo);
        hosts_[host].rejections.clear();
        hosts_[host].arrivals.clear();
    }

    std::mt19937 random_;
    std::size_t rejecting_;
    std::vector<units::TimePoint> freeAt_;
    std::vector<Host> hosts_;
    EndpointRegistry registry_;
    RequestPlacer placer_; // of the coordinator
    std::map<std::uint64_t, PlacementQuery> queries_;
    EventQueue events_;
    std::uint64_t lastNumber_ = 0;
    units::TimePoint now_ = Start;
    Outcome outcome_;
};

} // namespace

// Guards against hosts that send to an endpoint within the pause that it has asked them for, also
// when another host places their requests, when they place them alone, and when all endpoints
// reject at once.
TEST_CASE("PauseSimulation.NoHostSendsToAnEndpointThatItMustSpare")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        for (const std::size_t rejecting : {1, 4, 12}) {
            const Outcome outcome = PauseSimulation(seed, 8, 12, rejecting).play();
            INFO("seed ", seed, ", rejecting ", rejecting, ", asked ", outcome.asked, ", rejected ",
                 outcome.rejected, ", refused ", outcome.refused, ", served afterwards ",
                 outcome.servedAfterwards);
            CHECK(outcome.maxArrivalsInPause == 0);
            CHECK(outcome.servedAfterwards > 0);
        }
    }
}

// Guards against callers of every host who are rejected, one host after the other, by endpoints
// that have already asked others for a pause.
TEST_CASE("PauseSimulation.RejectionOfOneHostsRequestSparesTheOthers")
{
    const double pauses = double(milliseconds(RejectsUntil - RejectsFrom).count())
        / double(milliseconds(Pause).count());
    for (unsigned seed = 1; seed <= 5; ++seed) {
        const Outcome outcome = PauseSimulation(seed, 8, 12, 4).play();
        CHECK_MESSAGE(outcome.rejected < 0.75 * 8 * 4 * pauses, "rejected ", outcome.rejected);
        CHECK(outcome.refused == 0);
    }
}
