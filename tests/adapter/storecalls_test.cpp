#include "storefleet.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::StoreBehavior;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The store charges for each call, and the fleet may be of any size. These tests count the calls of
// fifty hosts; the bounds are those of docs/design/store-access.md and do not depend on fifty.
namespace {

constexpr std::size_t Hosts = 50;
// Six readers, each a call a second for the configuration and one in four seconds for endpoints,
// with half as much again for hosts that read for a moment though they need not.
constexpr int CalmCallsPerSecond = 12;
// Up to 24 hosts try a store that is away, each with about 1.25 calls a second.
constexpr int OutageCallsPerSecond = 45;
// Each change reaches each reader by a call of its own, and at most four a second and kind.
constexpr int CallsPerChange = 12;

// True if no host stops serving in that time.
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

TEST_CASE("StoreCalls.FleetThatStartsReadsByAFewOfItsHosts")
{
    // Fifty hosts start at once and know only the three hosts that their settings name. All serve
    // within a second; the store sees lists that may be old, and calls of a few.
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    const int calls = fleet.callsWhile([&] { REQUIRE(fleet.startAll(milliseconds(1500))); });
    CHECK(calls <= 20);
    CHECK(fleet.store.staleLists() <= int(2 * Hosts));
    CHECK(fleet.runUntil([&] { return fleet.allKnow("p1"); }, milliseconds(300)));
}

TEST_CASE("StoreCalls.CalmFleetCallsAsOftenAsSixHosts")
{
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5)); // readers are settled
    CHECK(callsIn(fleet, seconds(4)) <= 4 * CalmCallsPerSecond);
}

TEST_CASE("StoreCalls.ChangesReachAllHostsAtOnceByTheCallsOfTheReaders")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const int calls = fleet.callsWhile([&] {
        fleet.putConfiguration(2);
        CHECK(fleet.runUntil([&] { return fleet.allHaveVersion(2); }, milliseconds(300)));
        fleet.putEndpoint("p1", "draining");
        CHECK(fleet.runUntil([&] { return fleet.noneKnows("p1"); }, milliseconds(300)));
    });
    CHECK(calls <= 2 * CallsPerChange + CalmCallsPerSecond);
}

TEST_CASE("StoreCalls.ManyChangesAreReadTogether")
{
    // A hundred endpoints register within two seconds. A call for each at each reader would be 600.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const int calls = fleet.callsWhile([&] {
        for (int i = 0; i < 100; ++i) {
            fleet.putEndpoint("p" + std::to_string(i));
            fleet.runFor(milliseconds(20));
        }
        CHECK(fleet.runUntil([&] { return fleet.allKnow("p99"); }, milliseconds(600)));
    });
    CHECK(calls <= 110);
}

TEST_CASE("StoreCalls.OutageCostsAsManyCallsForAnyFleetAndIsOverWithinASecond")
{
    // The store refuses everybody for six seconds. A few hosts try it; the others wait at these.
    for (const StoreBehavior mood : {StoreBehavior::Refusing, StoreBehavior::DroppingResponses}) {
        StoreFleet fleet(Hosts);
        REQUIRE(fleet.startAll());
        fleet.runFor(seconds(5));
        fleet.store.setBehavior(mood);
        CHECK(callsIn(fleet, seconds(6)) <= 6 * OutageCallsPerSecond);
        CHECK_FALSE(fleet.allServe()); // keys are not accepted without a proof
        fleet.store.setBehavior(StoreBehavior::Normal);
        CHECK(fleet.runUntil([&] { return fleet.allServe(); }, milliseconds(1200)));
    }
}

TEST_CASE("StoreCalls.SilentStoreCostsNoMoreThanOneThatRefuses")
{
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    fleet.store.setBehavior(StoreBehavior::Silent);
    CHECK(callsIn(fleet, seconds(6)) <= 6 * OutageCallsPerSecond);
    fleet.store.setBehavior(StoreBehavior::Normal);
    // A call that waits in silence takes 1.2 s to be given up.
    CHECK(fleet.runUntil([&] { return fleet.allServe(); }, milliseconds(2500)));
}

TEST_CASE("StoreCalls.HostsThatTheStoreRefusesReadFromOthersAndGoOnServing")
{
    // The store refuses a third of the hosts, among them some readers, and serves the rest. A key
    // that is revoked meanwhile must stop working on the refused hosts as well.
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
    // Just the readers are refused. Nobody else has the store then, so it looks like an outage,
    // until further hosts try.
    StoreFleet fleet(Hosts);
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    for (const std::size_t reader : fleet.readers())
        fleet.setBehavior(reader, StoreBehavior::Refusing);
    const int calls = fleet.callsWhile([&] { CHECK(servesThroughout(fleet, seconds(5))); });
    CHECK(calls <= 5 * OutageCallsPerSecond);
}

TEST_CASE("StoreCalls.HistoryThatIsGoneIsReadAgainByTheReadersOnly")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    const int lists = fleet.store.lists();
    fleet.store.compact();
    fleet.putEndpoint("p2");
    CHECK(fleet.runUntil([&] { return fleet.allKnow("p2"); }, milliseconds(1000)));
    CHECK(fleet.store.lists() - lists <= 2 * int(routing::StoreReaderCount) + 4);
}

TEST_CASE("StoreCalls.ReadersThatAreKilledAllAtOnceAreReplacedWithinASecond")
{
    // All that read the store die. Their followers see the connections end, agree on the next hosts
    // and ask these, which then read the store. A change gets through all the same.
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
    // Frozen hosts keep their connections and say nothing, so only a timeout shows it.
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

TEST_CASE("StoreCalls.HostThatStartsInARunningFleetMakesNoFullCall")
{
    StoreFleet fleet(Hosts);
    fleet.putEndpoint("p1");
    REQUIRE(fleet.startAll());
    fleet.runFor(seconds(5));
    fleet.kill(Hosts - 1);
    fleet.runFor(milliseconds(300));
    const int calls = fleet.callsWhile([&] {
        fleet.start(Hosts - 1);
        CHECK(fleet.runUntil([&] { return fleet.isServing(Hosts - 1) && fleet.allKnow("p1"); },
                             milliseconds(300)));
    });
    CHECK(calls <= CalmCallsPerSecond);
}

// Guards against hosts of a large fleet that don't serve, or make the store list everything for
// each of them, when all start at once or come back after all were killed.
TEST_CASE("StoreCalls.LargeFleetServesSoonAfterAllWereKilled")
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
