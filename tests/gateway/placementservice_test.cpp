#include <monsoongrade/gateway/placementservice.h>

#include <monsoongrade/duties/walltimeestimate.h>
#include <monsoongrade/units/bootclock.h>

#include <doctest/doctest.h>

#include <unistd.h>

#include <optional>
#include <set>
#include <thread>

using namespace monsoongrade;
using gateway::PlacementService;
using std::chrono::milliseconds;

namespace {

const units::PoolName Pool("p");

// Test programs run in parallel; each derives its addresses from its process id.
std::string addressOf(int host)
{
    const int pid = int(getpid());
    return "127." + std::to_string(128 + (pid >> 14) % 64) + "." + std::to_string((pid >> 6) % 256)
        + "." + std::to_string(1 + (pid % 64) * 3 + host);
}

// A host with its own event loop, which a test can stop to simulate a frozen process.
struct Host
{
    Host(int number, const std::vector<std::string> &order)
        : timers(io, clock)
        , placement(io, timers, {addressOf(number), 17342}, registry, announcements, log)
    {
        routing::DiscoveredEndpoint endpoint;
        endpoint.id = units::EndpointId("e");
        endpoint.pool = Pool;
        endpoint.address = "127.0.0.1:1";
        endpoint.slots = 64;
        registry.update(endpoint);
        placement.setCoordinatorRankings(order, order);
        placement.start();
    }

    // The endpoint has announced this to the host.
    void announce(const routing::AnnouncedLimits &limits)
    {
        const auto endpoint = registry.findAvailable(units::EndpointId("e"));
        announcements.setLimits(routing::instanceOf(endpoint->registration), limits, timers.now());
        placement.setLimits(*endpoint, limits);
    }
    void announceLimit(double limit) { announce({limit, {}}); }

    units::BootClock clock;
    asio::io_context io;
    httpio::Timers timers;
    routing::EndpointRegistry registry;
    duties::WallTimeEstimate wallTime;
    routing::EndpointAnnouncements announcements{wallTime};
    gateway::RateLimitedLog log{timers};
    observability::Metrics &metrics = log.metrics;
    PlacementService placement;
};

void runFor(milliseconds time, const std::vector<Host *> &hosts)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        for (Host *host : hosts)
            host->io.poll();
        std::this_thread::sleep_for(milliseconds(1));
    }
}

// A prompt with 108 ms of prefill. The one endpoint has room for only the first few of them.
routing::PlacementQuery longPrompt(int number)
{
    routing::PlacementQuery query;
    query.pool = Pool;
    query.runsModel = true;
    query.sharedPart = std::to_string(number);
    query.promptTokens = 17020;
    query.ownTokens = 3720;
    query.targetIn = std::chrono::seconds(20);
    query.expiresIn = std::chrono::seconds(20);
    query.mayWait = true;
    return query;
}

routing::PlacementQuery shortPrompt(int number)
{
    routing::PlacementQuery query = longPrompt(number);
    query.promptTokens = 100;
    query.ownTokens = 50;
    return query;
}

} // namespace

TEST_CASE("PlacementService.WaitingRequestsDoNotLoadTheCoordinator")
{
    // In a burst, thousands of long prompts are queued at the coordinator. When the query of each
    // was repeated five times a second, the coordinator received 10,000 queries a second and
    // answered new ones too late; the other hosts then placed requests themselves, and prompts were
    // prefilled again all over the pool.
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host coordinator(0, order);
    Host requester(1, order);
    int placed = 0;
    for (int i = 0; i < 100; ++i)
        requester.placement.place(longPrompt(i), [&](const auto &, const auto &) { ++placed; });
    runFor(milliseconds(1200), {&coordinator, &requester});
    const std::int64_t queries
        = coordinator.metrics.counter("monsoongrade_gateway_placement_asks_total");
    CHECK_MESSAGE(queries <= 100, "expected one ask for each of 100 requests, got ", queries);
    CHECK_MESSAGE(placed < 100, "expected requests that wait, but all were placed");
}

TEST_CASE("PlacementService.WaitingRequestsArePlacedLocallyWhenTheCoordinatorFreezes")
{
    // The coordinator freezes while requests are in its queue. The requesting host notices after at
    // most two unanswered checks and places the requests itself.
    const std::vector<std::string> order{addressOf(2), addressOf(1)};
    Host coordinator(2, order);
    Host requester(1, order);
    int placed = 0;
    for (int i = 0; i < 20; ++i)
        requester.placement.place(longPrompt(i), [&](const auto &, const auto &) { ++placed; });
    runFor(milliseconds(100), {&coordinator, &requester});
    const int before = placed;
    REQUIRE(before < 20);
    runFor(milliseconds(800), {&requester});
    CHECK_MESSAGE(placed > before,
                  "expected the asking host to place waiting requests itself; before the freeze ",
                  before, " were placed, after it ", placed);
}

TEST_CASE("PlacementService.RepeatedQueryGetsTheSameAnswerAndALateOneLeavesNoLoad")
{
    // The coordinator is stopped for a moment, so that the query is repeated and then the request
    // is placed by the requesting host. When the coordinator continues, it receives both queries
    // and the withdrawal; a choice kept there would count as load on the endpoint for seconds.
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host coordinator(0, order);
    Host requester(1, order);
    int placed = 0;
    routing::PlacementQuery query = longPrompt(1);
    query.mayWait = false;
    requester.placement.place(query, [&](const auto &, const auto &) { ++placed; });
    runFor(milliseconds(150), {&requester});
    CHECK(placed == 1);
    runFor(milliseconds(50), {&coordinator, &requester});
    CHECK(coordinator.metrics.counter("monsoongrade_gateway_placement_asks_total") == 2);
    CHECK(placed == 1);
    CHECK(coordinator.placement.openRequests() == 0);
}

TEST_CASE("PlacementService.RestartedHostDoesNotGetAnswersOfItsLastRun")
{
    // A host is killed with requests open and restarts with the same address. The coordinator still
    // has the tickets of the last run; if numbers were reused, new requests would get old answers.
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host coordinator(0, order);
    std::set<std::uint64_t> numbers;
    for (int run = 0; run < 2; ++run) {
        Host requester(1, order);
        for (int i = 0; i < 3; ++i)
            numbers.insert(
                requester.placement.place(longPrompt(i), [](const auto &, const auto &) {}));
    }
    CHECK(numbers.size() == 6);
}

// Guards against a coordinator that chooses an endpoint which the requesting host must spare, and
// against one that withholds it from the other hosts.
TEST_CASE("PlacementService.PauseOfAnEndpointConcernsOnlyTheHostThatWasAsked")
{
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host coordinator(0, order);
    Host paused(1, order);
    Host other(2, order);
    routing::PlacementQuery query = longPrompt(1);
    query.paused = {units::EndpointId("e")};
    std::optional<bool> isPlacedForPaused;
    std::optional<bool> isPlacedForOther;
    paused.placement.place(query, [&](const auto &, const auto &choice) {
        isPlacedForPaused = choice.endpoint != nullptr;
    });
    other.placement.place(longPrompt(2), [&](const auto &, const auto &choice) {
        isPlacedForOther = choice.endpoint != nullptr;
    });
    runFor(milliseconds(100), {&coordinator, &paused, &other});
    CHECK(isPlacedForPaused == false);
    CHECK(isPlacedForOther == true);
    CHECK(coordinator.metrics.counter("monsoongrade_gateway_placement_asks_total") == 2);
}

// Guards against a host that sends to an endpoint which has told it a limit, because the
// coordinator has not heard of the limit.
TEST_CASE("PlacementService.LimitKnownToTheRequestingHostAloneIsKept")
{
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host coordinator(0, order);
    Host requester(1, order);
    requester.announceLimit(1);
    int placed = 0;
    for (int i = 0; i < 40; ++i) {
        const auto number
            = requester.placement.place(shortPrompt(i), [&](const auto &, const auto &choice) {
                  placed += choice.endpoint == nullptr ? 0 : 1;
              });
        runFor(milliseconds(50), {&coordinator, &requester});
        requester.placement.withdraw(number);
    }
    // 2 s at one a second, and the first one.
    CHECK_MESSAGE(placed <= 3, "placed ", placed);
    CHECK(placed >= 1);
}

// Guards against several hosts that each use the whole limit: the coordinator, and the next one
// in order, which hosts ask that get no answers from the first.
TEST_CASE("PlacementService.HostsAskedAtTheSameTimeShareALimit")
{
    const double limit = 8;
    const std::vector<std::string> order{addressOf(0), addressOf(1), addressOf(2)};
    const std::vector<std::string> withoutFirst{addressOf(1), addressOf(0)};
    Host coordinator(0, order);
    Host standby(1, withoutFirst);
    Host requester(2, order);
    int placed = 0;
    for (Host *host : {&coordinator, &standby, &requester}) {
        const int index = host == &coordinator ? 0 : host == &standby ? 1 : 2;
        host->placement.setLiveHosts({3, index}, {3, index});
        host->announceLimit(limit);
    }
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; std::chrono::steady_clock::now() < begin + milliseconds(4000); ++i) {
        for (Host *host : {&coordinator, &standby, &requester}) {
            host->placement.place(shortPrompt(i), [&](const auto &, const auto &choice) {
                placed += choice.endpoint == nullptr ? 0 : 1;
            });
        }
        runFor(milliseconds(20), {&coordinator, &standby, &requester});
    }
    CHECK_MESSAGE(placed <= int(1.5 * limit * 4 + 5), "placed ", placed);
    CHECK_MESSAGE(placed >= int(0.75 * limit * 4), "placed ", placed);
}

// Guards against a coordinator that fills an endpoint beyond its slots because it has had no
// response that says how few rejections the endpoint survives.
TEST_CASE("PlacementService.CoordinatorIsToldHowFewRejectionsAnEndpointSurvives")
{
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host coordinator(0, order);
    Host requester(1, order);
    requester.announce({{}, 2.0});
    int placed = 0;
    for (int i = 0; i < 200; ++i) {
        requester.placement.place(shortPrompt(i), [&](const auto &, const auto &choice) {
            placed += choice.endpoint == nullptr ? 0 : 1;
        });
        runFor(milliseconds(2), {&coordinator, &requester});
    }
    CHECK(coordinator.announcements.brittle() == 1);
    CHECK_MESSAGE(placed <= 64, "placed ", placed);
}

// Guards against a burst that meets the replacement of a crashed endpoint before its first response
// says that it survives few rejections as well.
TEST_CASE("PlacementService.ReplacementIsTakenToSurviveAsFewRejectionsAsItsPool")
{
    Host host(0, {});
    host.announce({{}, 2.0});
    routing::DiscoveredEndpoint replacement
        = host.registry.findAvailable(units::EndpointId("e"))->registration;
    replacement.id = units::EndpointId("replacement");
    host.registry.update(replacement);
    host.placement.applyKnownLimits(replacement);
    CHECK(host.registry.findAvailable(replacement.id)->isBrittle(host.timers.now()));
    CHECK_FALSE(host.registry.findAvailable(replacement.id)
                    ->isBrittle(host.timers.now() + std::chrono::minutes(1)));
}

// Guards against hosts that each fill a plain endpoint which has fewer slots than there are hosts,
// or that leave it idle.
TEST_CASE("PlacementService.HostsTogetherFillThePlainSlotsOfAnEndpointThatSurvivesFewRejections")
{
    constexpr int Slots = 2;
    const std::vector<std::string> order{addressOf(0), addressOf(1), addressOf(2)};
    Host first(0, order);
    Host second(1, order);
    Host third(2, order);
    int placed = 0;
    for (Host *host : {&first, &second, &third}) {
        const auto endpoint = host->registry.findAvailable(units::EndpointId("e"));
        endpoint->registration.slots = Slots;
        const int index = host == &first ? 0 : host == &second ? 1 : 2;
        host->placement.setLiveHosts({3, index}, {3, index});
        host->announce({{}, 2.0});
    }
    for (int i = 0; i < 12; ++i) {
        for (Host *host : {&first, &second, &third}) {
            routing::PlacementQuery query;
            query.pool = Pool;
            host->placement.place(query, [&, host](const auto &ticket, const auto &choice) {
                if (choice.endpoint == nullptr)
                    return;
                ++placed;
                host->placement.report(ticket, routing::PlacementEvent::FirstEvent);
            });
        }
        runFor(milliseconds(20), {&first, &second, &third});
    }
    CHECK_MESSAGE(placed == Slots, "placed ", placed);
}
