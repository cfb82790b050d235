#include <monsoongrade/gateway/placementservice.h>

#include <monsoongrade/units/bootclock.h>

#include <doctest/doctest.h>

#include <unistd.h>

#include <set>
#include <thread>

using namespace monsoongrade;
using gateway::PlacementService;
using std::chrono::milliseconds;

namespace {

const units::PoolName Pool("p");

// Test programs run side by side: each takes addresses by its process id.
std::string addressOf(int host)
{
    const int pid = int(getpid());
    return "127." + std::to_string(128 + (pid >> 14) % 64) + "." + std::to_string((pid >> 6) % 256)
        + "." + std::to_string(1 + (pid % 64) * 3 + host);
}

// One host with its own loop, so that it can be stopped like a frozen process.
struct Host
{
    Host(int number, const std::vector<std::string> &order)
        : timers(io, clock)
        , placement(io, timers, {addressOf(number), 17342}, registry, metrics)
    {
        routing::DiscoveredEndpoint endpoint;
        endpoint.id = units::EndpointId("e");
        endpoint.pool = Pool;
        endpoint.address = "127.0.0.1:1";
        endpoint.slots = 64;
        registry.update(endpoint);
        placement.setOrders(order, order);
        placement.start();
    }

    units::BootClock clock;
    asio::io_context io;
    httpio::Timers timers;
    routing::EndpointRegistry registry;
    observability::Metrics metrics;
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

// A prompt of 108 ms to read; only the first few fit on the one endpoint, the others wait.
routing::PlacementQuery longRead(int number)
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

} // namespace

TEST_CASE("PlacementService.WaitingRequestsDoNotLoadThePlacingHost")
{
    // In a burst thousands of long reads wait at the placing host. When each asked again by itself
    // five times a second, that host had 10,000 asks a second to answer and answered new ones too
    // late; the others placed alone and had prompts read again all over the pool.
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host placing(0, order);
    Host asking(1, order);
    int placed = 0;
    for (int i = 0; i < 100; ++i)
        asking.placement.place(longRead(i), [&](const auto &, const auto &) { ++placed; });
    runFor(milliseconds(1200), {&placing, &asking});
    const std::int64_t asks = placing.metrics.counter("monsoongrade_gateway_placement_asks_total");
    CHECK_MESSAGE(asks <= 100, "expected one ask for each of 100 requests, got ", asks);
    CHECK_MESSAGE(placed < 100, "expected requests that wait, but all were placed");
}

TEST_CASE("PlacementService.WaitingRequestsMoveOnWhenThePlacingHostFreezes")
{
    // Requests wait at the placing host, and it freezes. Its queue is gone for them: the asking
    // host notices within two missed checks and takes them over.
    const std::vector<std::string> order{addressOf(2), addressOf(1)};
    Host placing(2, order);
    Host asking(1, order);
    int placed = 0;
    for (int i = 0; i < 20; ++i)
        asking.placement.place(longRead(i), [&](const auto &, const auto &) { ++placed; });
    runFor(milliseconds(100), {&placing, &asking});
    const int before = placed;
    REQUIRE(before < 20);
    runFor(milliseconds(800), {&asking});
    CHECK_MESSAGE(placed > before,
                  "expected the asking host to place waiting requests itself; before the freeze ",
                  before, " were placed, after it ", placed);
}

TEST_CASE("PlacementService.RepeatedAskGetsTheSameAnswerAndALateOneLeavesNoLoad")
{
    // The placing host is stopped for a moment, so that the ask is repeated and then decided by the
    // asking host. When the placing host goes on it sees both asks and the withdrawal; a choice
    // that stayed there would count as load on the endpoint for seconds.
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host placing(0, order);
    Host asking(1, order);
    int placed = 0;
    routing::PlacementQuery query = longRead(1);
    query.mayWait = false;
    asking.placement.place(query, [&](const auto &, const auto &) { ++placed; });
    runFor(milliseconds(150), {&asking});
    CHECK(placed == 1);
    runFor(milliseconds(50), {&placing, &asking});
    CHECK(placing.metrics.counter("monsoongrade_gateway_placement_asks_total") == 2);
    CHECK(placed == 1);
    CHECK(placing.placement.openRequests() == 0);
}

TEST_CASE("PlacementService.RestartedHostDoesNotGetAnswersOfItsLastRun")
{
    // A host is killed with requests open and starts again under its address. The placing host
    // still has the tickets of the last run; with the same numbers, new requests would get old
    // answers.
    const std::vector<std::string> order{addressOf(0), addressOf(1)};
    Host placing(0, order);
    std::set<std::uint64_t> numbers;
    for (int run = 0; run < 2; ++run) {
        Host asking(1, order);
        for (int i = 0; i < 3; ++i)
            numbers.insert(asking.placement.place(longRead(i), [](const auto &, const auto &) {}));
    }
    CHECK(numbers.size() == 6);
}
