#include "gatewayworld.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

std::int64_t versionInForce(const GatewayWorld &world)
{
    const auto &table = world.gateway->state().table;
    return table == nullptr ? 0 : table->configuration().version;
}

bool isAvailable(GatewayWorld &world, const std::string &id)
{
    for (const auto &endpoint :
         world.gateway->state().registry.available(units::PoolName("plain"))) {
        if (endpoint->registration.id.value() == id)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("PlatformWatcher.NewVersionIsInForceWithinMilliseconds")
{
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration(1));
    world.start();
    REQUIRE(world.awaitServing(0));
    world.store.put("config", "main", operatorsConfiguration(2));
    CHECK(
        world.runUntil([&] { return versionInForce(world) == 2; }, std::chrono::milliseconds(200)));
}

TEST_CASE("PlatformWatcher.LateEventAboutAnOlderVersionChangesNothing")
{
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration(1));
    const std::uint64_t oldRevision = world.store.revision();
    world.start();
    REQUIRE(world.awaitServing(0));
    world.store.put("config", "main", operatorsConfiguration(2));
    REQUIRE(world.runUntil([&] { return versionInForce(world) == 2; }));
    world.store.repeatOldEvent("config", "main", operatorsConfiguration(1), oldRevision);
    world.runFor(std::chrono::milliseconds(100));
    CHECK(versionInForce(world) == 2);
}

TEST_CASE("PlatformWatcher.LateEventAboutALeavingEndpointDoesNotBringItBack")
{
    // The endpoint is leaving. An event of before that arrives late and says that it is ready; new
    // work sent there would be cut off.
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("p1", "plain", "127.0.0.1:9");
    const std::uint64_t readyRevision = world.store.revision();
    world.start();
    REQUIRE(world.awaitServing(1));
    REQUIRE(isAvailable(world, "p1"));
    world.announce("p1", "plain", "127.0.0.1:9", 1, "draining");
    REQUIRE(world.runUntil([&] { return !isAvailable(world, "p1"); }));
    world.store.repeatOldEvent("servers", "p1",
                               {{"service", "plain"},
                                {"address", "127.0.0.1:9"},
                                {"zone", "z1"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"born", 1}},
                               readyRevision);
    world.runFor(std::chrono::milliseconds(100));
    CHECK_FALSE(isAvailable(world, "p1"));
}

TEST_CASE("PlatformWatcher.RemovalInAHistoryGapIsSeenByTheList")
{
    // An endpoint is removed and the store drops its history before the watch could tell. Only a
    // whole list shows that the endpoint is gone.
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("p1", "plain", "127.0.0.1:9");
    world.announce("p2", "plain", "127.0.0.1:9");
    world.start();
    REQUIRE(world.awaitServing(2));
    world.store.setBehavior(
        standins::StoreBehavior::Silent); // the watch hears nothing of the removal
    world.store.remove("servers", "p1");
    world.store.setBehavior(standins::StoreBehavior::Normal);
    world.store.compact();
    CHECK(world.runUntil([&] { return !isAvailable(world, "p1"); }, std::chrono::seconds(1)));
    CHECK(isAvailable(world, "p2"));
}

TEST_CASE("PlatformWatcher.UnreadableEntriesNameNoEndpointAndHarmNoOther")
{
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.store.put("servers", "bad1", {{"service", 5}, {"address", "127.0.0.1:9"}});
    world.store.put("servers", "bad2", "just text");
    world.store.put("servers", "bad3",
                    {{"service", "plain"}, {"address", "nowhere"}, {"state", "ready"}});
    world.store.put("servers", "bad4",
                    {{"service", "plain"}, {"address", "127.0.0.1:9"}, {"state", "odd"}});
    world.announce("p1", "plain", "127.0.0.1:9");
    world.start();
    REQUIRE(world.awaitServing(1));
    CHECK(isAvailable(world, "p1"));
}

TEST_CASE("PlatformWatcher.DrainingEndpointGetsNoNewRequests")
{
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("p1", "plain", "127.0.0.1:9");
    world.start();
    REQUIRE(world.awaitServing(1));
    world.announce("p1", "plain", "127.0.0.1:9", 1, "draining");
    CHECK(
        world.runUntil([&] { return !isAvailable(world, "p1"); }, std::chrono::milliseconds(200)));
}

TEST_CASE("PlatformWatcher.EntriesMissingAfterAnOutageAreKeptForTwoSeconds")
{
    // While the store is away, entries lapse though their endpoints live. They are written again
    // within two seconds of its return; one that is still missing then is gone.
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("p1", "plain", "127.0.0.1:9");
    world.start();
    REQUIRE(world.awaitServing(1));
    world.store.setBehavior(standins::StoreBehavior::Refusing);
    world.store.compact(); // ends the waiting watches; the next calls are refused
    world.runFor(std::chrono::milliseconds(1500));
    world.store.remove("servers", "p1");
    world.store.setBehavior(standins::StoreBehavior::Normal);
    world.runFor(std::chrono::milliseconds(1200));
    CHECK(isAvailable(world, "p1"));
    CHECK(world.runUntil([&] { return !isAvailable(world, "p1"); }, std::chrono::seconds(2)));
}

TEST_CASE("PlatformWatcher.KeysAreNotTrustedWithoutNewsFromTheStore")
{
    // The store goes silent and a key might be revoked meanwhile. Within the bound of five seconds
    // the host stops accepting keys; it refuses as "come back later", not as an unknown key.
    GatewayWorld world;
    standins::StandInWorker worker(world.io, world.timers, world.store, {"p1", "plain"});
    world.store.put("config", "main", operatorsConfiguration());
    worker.announce("ready");
    world.start();
    REQUIRE(world.awaitServing(1));
    REQUIRE(world.call(request("GET", "/safe/a", "id1"))->status() == 200);
    world.store.setBehavior(standins::StoreBehavior::Silent);
    CHECK(world.runUntil([&] { return !world.gateway->isServing(); }, std::chrono::seconds(5)));
    CHECK(world.call(request("GET", "/safe/a", "id2"))->status() == 503);
    CHECK(world.call(request("GET", "/nowhere/a", "id3"))->status() == 503);
    CHECK(world.call(request("GET", "/public/a", "id4"))->status() == 200);
    world.store.setBehavior(standins::StoreBehavior::Normal);
    REQUIRE(world.runUntil([&] { return world.gateway->isServing(); }, std::chrono::seconds(4)));
    CHECK(world.call(request("GET", "/safe/a", "id5"))->status() == 200);
}

TEST_CASE("PlatformWatcher.LeaseHasRunOutAfterASuspension")
{
    // The host is suspended for a minute. A clock that does not count that time would call the
    // configuration fresh and accept a key that was revoked in the meantime.
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.start();
    REQUIRE(world.awaitServing(0));
    world.clock.jump(std::chrono::minutes(1));
    CHECK_FALSE(world.gateway->isServing());
    CHECK(world.runUntil([&] { return world.gateway->isServing(); }));
}

TEST_CASE("PlatformWatcher.WorkerRestartedUnderItsIdIsANewOne")
{
    // Same id and address, but another start: what was known of its load and health is void.
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("p1", "plain", "127.0.0.1:9", 1);
    world.start();
    REQUIRE(world.awaitServing(1));
    const auto before = world.gateway->state().registry.available(units::PoolName("plain")).at(0);
    world.announce("p1", "plain", "127.0.0.1:9", 2);
    REQUIRE(world.runUntil([&] { return before->leaving; }));
    const auto after = world.gateway->state().registry.available(units::PoolName("plain")).at(0);
    CHECK(after != before);
    CHECK(after->registration.incarnation.value() == 2);
}

TEST_CASE("PlatformWatcher.IdleHostMakesAboutOneCallASecond")
{
    GatewayWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.start();
    REQUIRE(world.awaitServing(0));
    const int before = world.store.calls();
    world.runFor(std::chrono::milliseconds(3200));
    CHECK(world.store.calls() - before <= 4);
}
