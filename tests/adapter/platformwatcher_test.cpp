#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

std::int64_t currentVersion(const GatewayFixture &fixture)
{
    const auto &table = fixture.gateway->state().table;
    return table == nullptr ? 0 : table->configuration().version;
}

bool isAvailable(GatewayFixture &fixture, const std::string &id)
{
    for (const auto &endpoint :
         fixture.gateway->state().registry.available(units::PoolName("plain"))) {
        if (endpoint->registration.id.value() == id)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("PlatformWatcher.NewVersionIsAppliedWithinMilliseconds")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration(1));
    fixture.start();
    REQUIRE(fixture.awaitServing(0));
    fixture.store.put("config", "main", operatorConfiguration(2));
    CHECK(fixture.runUntil([&] { return currentVersion(fixture) == 2; },
                           std::chrono::milliseconds(200)));
}

TEST_CASE("PlatformWatcher.LateEventAboutAnOlderVersionChangesNothing")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration(1));
    const std::uint64_t oldRevision = fixture.store.revision();
    fixture.start();
    REQUIRE(fixture.awaitServing(0));
    fixture.store.put("config", "main", operatorConfiguration(2));
    REQUIRE(fixture.runUntil([&] { return currentVersion(fixture) == 2; }));
    fixture.store.repeatOldEvent("config", "main", operatorConfiguration(1), oldRevision);
    fixture.runFor(std::chrono::milliseconds(100));
    CHECK(currentVersion(fixture) == 2);
}

TEST_CASE("PlatformWatcher.LateEventAboutADrainingEndpointDoesNotBringItBack")
{
    // An earlier event, by which the endpoint is ready, arrives after it has begun to drain. New
    // requests sent there would be aborted.
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("p1", "plain", "127.0.0.1:9");
    const std::uint64_t readyRevision = fixture.store.revision();
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    REQUIRE(isAvailable(fixture, "p1"));
    fixture.announce("p1", "plain", "127.0.0.1:9", 1, "draining");
    REQUIRE(fixture.runUntil([&] { return !isAvailable(fixture, "p1"); }));
    fixture.store.repeatOldEvent("servers", "p1",
                                 {{"service", "plain"},
                                  {"address", "127.0.0.1:9"},
                                  {"zone", "z1"},
                                  {"slots", 8},
                                  {"state", "ready"},
                                  {"born", 1}},
                                 readyRevision);
    fixture.runFor(std::chrono::milliseconds(100));
    CHECK_FALSE(isAvailable(fixture, "p1"));
}

TEST_CASE("PlatformWatcher.RemovalInAHistoryGapIsDetectedByTheList")
{
    // An endpoint is removed, and the store drops its history before the watch could report it.
    // Only a full list shows that the endpoint is gone.
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.start();
    REQUIRE(fixture.awaitServing(2));
    fixture.store.setBehavior(standins::StoreBehavior::Silent); // keeps the watch from reporting
    fixture.store.remove("servers", "p1");
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.store.compact();
    CHECK(fixture.runUntil([&] { return !isAvailable(fixture, "p1"); }, std::chrono::seconds(1)));
    CHECK(isAvailable(fixture, "p2"));
}

TEST_CASE("PlatformWatcher.MalformedEntriesAreSkippedAndAffectNoOther")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.store.put("servers", "bad1", {{"service", 5}, {"address", "127.0.0.1:9"}});
    fixture.store.put("servers", "bad2", "just text");
    fixture.store.put("servers", "bad3",
                      {{"service", "plain"}, {"address", "nowhere"}, {"state", "ready"}});
    fixture.store.put("servers", "bad4",
                      {{"service", "plain"}, {"address", "127.0.0.1:9"}, {"state", "odd"}});
    int number = 4;
    for (const nlohmann::json &start : {nlohmann::json("soon"), nlohmann::json(true),
                                        nlohmann::json(1.5), nlohmann::json(1e300)}) {
        fixture.store.put("servers", "bad" + std::to_string(++number),
                          {{"service", "plain"},
                           {"address", "127.0.0.1:9"},
                           {"state", "ready"},
                           {"born", start}});
    }
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    CHECK(isAvailable(fixture, "p1"));
}

TEST_CASE("PlatformWatcher.DrainingEndpointGetsNoNewRequests")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    fixture.announce("p1", "plain", "127.0.0.1:9", 1, "draining");
    CHECK(fixture.runUntil([&] { return !isAvailable(fixture, "p1"); },
                           std::chrono::milliseconds(200)));
}

TEST_CASE("PlatformWatcher.EntriesMissingAfterAnOutageAreKeptForTwoSeconds")
{
    // During an outage of the store, entries of live endpoints expire. They are written again
    // within two seconds of its end; an endpoint whose entry is still missing then is gone.
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    fixture.store.setBehavior(standins::StoreBehavior::Refusing);
    fixture.store.compact(); // ends the pending watches; the next calls are refused
    fixture.runFor(std::chrono::milliseconds(1500));
    fixture.store.remove("servers", "p1");
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.runFor(std::chrono::milliseconds(1200));
    CHECK(isAvailable(fixture, "p1"));
    CHECK(fixture.runUntil([&] { return !isAvailable(fixture, "p1"); }, std::chrono::seconds(2)));
}

TEST_CASE("PlatformWatcher.KeysAreNotAcceptedWithoutResponsesOfTheStore")
{
    // A key might be revoked while the store does not respond. Within the bound of five seconds
    // the host stops accepting keys; it responds 503, so that clients retry, instead of 401.
    GatewayFixture fixture;
    standins::StandInWorker worker(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    fixture.store.put("config", "main", operatorConfiguration());
    worker.announce("ready");
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    REQUIRE(fixture.call(request("GET", "/safe/a", "id1"))->status() == 200);
    fixture.store.setBehavior(standins::StoreBehavior::Silent);
    CHECK(fixture.runUntil([&] { return !fixture.gateway->isServing(); }, std::chrono::seconds(5)));
    CHECK(fixture.call(request("GET", "/safe/a", "id2"))->status() == 503);
    CHECK(fixture.call(request("GET", "/nowhere/a", "id3"))->status() == 503);
    CHECK(fixture.call(request("GET", "/public/a", "id4"))->status() == 200);
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    REQUIRE(
        fixture.runUntil([&] { return fixture.gateway->isServing(); }, std::chrono::seconds(4)));
    CHECK(fixture.call(request("GET", "/safe/a", "id5"))->status() == 200);
}

TEST_CASE("PlatformWatcher.FreshnessLeaseHasExpiredAfterASuspension")
{
    // The host is suspended for a minute. With a clock that does not count that time, it would
    // consider the configuration fresh and accept a key that was revoked in the meantime.
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.start();
    REQUIRE(fixture.awaitServing(0));
    fixture.clock.jump(std::chrono::minutes(1));
    CHECK_FALSE(fixture.gateway->isServing());
    CHECK(fixture.runUntil([&] { return fixture.gateway->isServing(); }));
}

TEST_CASE("PlatformWatcher.WorkerRestartedUnderItsIdIsANewEndpoint")
{
    // Same id and address, but another process: its recorded load and health no longer apply.
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("p1", "plain", "127.0.0.1:9", 1);
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    const auto before = fixture.gateway->state().registry.available(units::PoolName("plain")).at(0);
    fixture.announce("p1", "plain", "127.0.0.1:9", 2);
    REQUIRE(fixture.runUntil([&] { return before->leaving; }));
    const auto after = fixture.gateway->state().registry.available(units::PoolName("plain")).at(0);
    CHECK(after != before);
    CHECK(after->registration.incarnation.value() == 2);
}

TEST_CASE("PlatformWatcher.IdleHostMakesAboutOneCallASecond")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.start();
    REQUIRE(fixture.awaitServing(0));
    const int before = fixture.store.calls();
    fixture.runFor(std::chrono::milliseconds(3200));
    CHECK(fixture.store.calls() - before <= 4);
}
