#include "storefleet.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::StoreBehavior;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The store charges for each call, and the fleet may be of any size. These tests count the calls of
// fifty hosts; the bounds are those of docs/design/store-access.md, whatever the number of hosts.
namespace {

constexpr std::size_t Hosts = 50;
// Six readers, each with one call a second for the configuration and one every four seconds for
// endpoints, plus half as many for hosts that read for a short time without need.
constexpr int IdleCallsPerSecond = 12;
// Up to 24 hosts try to reach the store during an outage, each with about 1.25 calls a second.
constexpr int OutageCallsPerSecond = 45;
// Each change reaches each reader with a call of its own; at most four a second for each kind.
constexpr int CallsPerChange = 12;

// Runs for this time; true if all hosts serve throughout.
bool servesThroughout(StoreFleet &fleet, milliseconds time)
{
    bool hasServed = true;
    fleet.runUntil(
        [&] {
            hasServed = hasServed && fleet.allServe();
            return false;
        },
        time);
    return hasServed;
}

int callsIn(StoreFleet &fleet, milliseconds time)
{
    return fleet.callsWhile([&] { fleet.runFor(time); });
}

} // namespace

TEST_CASE("StoreCalls.StartingFleetReadsThroughAFewHosts")
{
    // Fifty hosts start at once and know only the three seed hosts of their settings. All serve
    // within a second; the store gets calls for stale lists, and other calls from a few hosts.
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    const int calls = fleet.callsWhile([&] { REQUIRE(fleet.startAll(milliseconds(1500))); });
    CHECK(calls <= 20);
    CHECK(fleet.store.staleLists() <= int(2 * Hosts));
    CHECK(fleet.runUntil([&] { return fleet.allUse("p1"); }, milliseconds(300)));
}

TEST_CASE("StoreCalls.IdleFleetCallsAsOftenAsSixHosts")
{
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5)); // readers are settled
    CHECK(callsIn(fleet, seconds(4)) <= 4 * IdleCallsPerSecond);
}

TEST_CASE("StoreCalls.ChangesReachAllHostsAtOnceThroughTheReadersCalls")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const int calls = fleet.callsWhile([&] {
        fleet.putConfiguration(2);
        CHECK(fleet.runUntil([&] { return fleet.allHaveVersion(2); }, milliseconds(300)));
        fleet.putEndpoint("p1", "draining");
        CHECK(fleet.runUntil([&] { return fleet.noneUses("p1"); }, milliseconds(300)));
    });
    CHECK(calls <= 2 * CallsPerChange + IdleCallsPerSecond);
}

TEST_CASE("StoreCalls.ManyChangesAreReadInBatches")
{
    // A hundred endpoints register within two seconds. One call for each by each reader makes 600.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const int calls = fleet.callsWhile([&] {
        for (int i = 0; i < 100; ++i) {
            fleet.putEndpoint("p" + std::to_string(i));
            fleet.runFor(milliseconds(20));
        }
        CHECK(fleet.runUntil([&] { return fleet.allUse("p99"); }, milliseconds(600)));
    });
    CHECK(calls <= 110);
}

TEST_CASE("StoreCalls.OutageCostsAsManyCallsForAnyFleetAndIsOverWithinASecond")
{
    // The store refuses all hosts for six seconds. A few keep calling it, and the others wait for
    // these.
    for (const StoreBehavior behavior :
         {StoreBehavior::Refusing, StoreBehavior::DroppingResponses}) {
        StoreFleet fleet(Hosts);
        REQUIRE(fleet.startAll());
        fleet.runFor(seconds(5));
        fleet.store.setBehavior(behavior);
        CHECK(callsIn(fleet, seconds(6)) <= 6 * OutageCallsPerSecond);
        CHECK_FALSE(fleet.allServe()); // keys are not accepted without a proof
        fleet.store.setBehavior(StoreBehavior::Normal);
        CHECK(fleet.runUntil([&] { return fleet.allServe(); }, milliseconds(1200)));
    }
}

TEST_CASE("StoreCalls.UnresponsiveStoreCostsNoMoreCallsThanARefusingOne")
{
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    fleet.store.setBehavior(StoreBehavior::Silent);
    CHECK(callsIn(fleet, seconds(6)) <= 6 * OutageCallsPerSecond);
    fleet.store.setBehavior(StoreBehavior::Normal);
    // A call without a response times out after 1.2 s.
    CHECK(fleet.runUntil([&] { return fleet.allServe(); }, milliseconds(2500)));
}

TEST_CASE("StoreCalls.HostsRefusedByTheStoreReadFromOthersAndKeepServing")
{
    // The store refuses a third of the hosts, including some readers, and serves the rest. A key
    // revoked in the meantime must stop working on the refused hosts as well.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    for (std::size_t host = 0; host < Hosts; host += 3)
        fleet.setBehavior(host, StoreBehavior::Refusing);
    const int calls = fleet.callsWhile([&] {
        CHECK(servesThroughout(fleet, seconds(3)));
        fleet.putConfiguration(2);
        CHECK(fleet.runUntil([&] { return fleet.allHaveVersion(2); }, milliseconds(1000)));
    });
    CHECK(calls <= 4 * OutageCallsPerSecond);
}

TEST_CASE("StoreCalls.RefusedReadersAllOfThemGiveTheirPlaceToOthers")
{
    // Only the readers are refused. No other host reads the store then, so this looks like an
    // outage until further hosts try.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    for (const std::size_t reader : fleet.readers())
        fleet.setBehavior(reader, StoreBehavior::Refusing);
    const int calls = fleet.callsWhile([&] { CHECK(servesThroughout(fleet, seconds(5))); });
    CHECK(calls <= 5 * OutageCallsPerSecond);
}

TEST_CASE("StoreCalls.OnlyReadersListAgainAfterTheHistoryIsGone")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const int lists = fleet.store.lists();
    fleet.store.compact();
    fleet.putEndpoint("p2");
    CHECK(fleet.runUntil([&] { return fleet.allUse("p2"); }, milliseconds(1000)));
    CHECK(fleet.store.lists() - lists <= 2 * int(routing::StoreReaderCount) + 4);
}

TEST_CASE("StoreCalls.AllReadersKilledAtOnceAreReplacedWithinASecond")
{
    // Followers see the readers' connections close, agree on the next hosts and call these, which
    // then read the store. A change must still reach all hosts.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const std::vector<std::size_t> readers = fleet.readers();
    const int calls = fleet.callsWhile([&] {
        for (const std::size_t reader : readers)
            fleet.kill(reader);
        fleet.putConfiguration(2);
        CHECK(fleet.runUntil([&] { return fleet.allHaveVersion(2); }, milliseconds(1000)));
        fleet.runFor(seconds(3));
        CHECK(fleet.allServe());
    });
    CHECK(calls <= 4 * OutageCallsPerSecond);
}

TEST_CASE("StoreCalls.FrozenReadersAreReplacedBeforeAnyHostStopsServing")
{
    // Frozen hosts keep their connections open without responding, so only a timeout detects them.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const std::vector<std::size_t> readers = fleet.readers();
    for (std::size_t i = 0; i < 2; ++i)
        fleet.freeze(readers[i], true);
    const int calls = fleet.callsWhile([&] { CHECK(servesThroughout(fleet, seconds(5))); });
    CHECK(calls <= 5 * OutageCallsPerSecond);
}

TEST_CASE("StoreCalls.AllReadersFrozenAtOnceCostNoMoreThanAnOutage")
{
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    for (const std::size_t reader : fleet.readers())
        fleet.freeze(reader, true);
    CHECK(callsIn(fleet, seconds(5)) <= 5 * OutageCallsPerSecond);
    CHECK(fleet.allServe());
}

TEST_CASE("StoreCalls.HostStartingInARunningFleetAddsNoFreshReads")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    fleet.kill(Hosts - 1);
    fleet.runFor(milliseconds(300));
    const int calls = fleet.callsWhile([&] {
        fleet.start(Hosts - 1);
        CHECK(fleet.runUntil([&] { return fleet.isServing(Hosts - 1) && fleet.allUse("p1"); },
                             milliseconds(300)));
    });
    CHECK(calls <= IdleCallsPerSecond);
}

// Guards against hosts of a large fleet that don't serve, or that all read full lists from the
// store, when all start at once or restart after all were killed.
TEST_CASE("StoreCalls.LargeFleetServesSoonAfterAllHostsWereKilled")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoints(1400);
    REQUIRE(fleet.startAll());
    CHECK(fleet.runUntil([&] { return fleet.allUseTheirCells(4); }, seconds(5)));
    fleet.runFor(seconds(5)); // readers are settled
    fleet.killAll();
    for (std::size_t host = 0; host < Hosts; ++host)
        fleet.start(host);
    CHECK(fleet.runUntil([&] { return fleet.allUseTheirCells(4); }, seconds(5)));
}
