#include "gatewayworld.h"

#include "../platform_standin/standinduties.h"

#include <monsoongrade/gateway/dutyservice.h>

#include <platform/dutyobjectstore.h>
#include <platform/dutyplatformclient.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

constexpr auto Window = std::chrono::seconds(1);
constexpr auto Patience = std::chrono::seconds(12);

// One gateway that holds the duties, against the store and the calls of the platform.
class DutiesWorld : public GatewayWorld
{
public:
    DutiesWorld()
        : duties(io, timers, 0)
    {
        settings.dutiesAddress = "127.0.0.1:" + std::to_string(duties.address().port());
        settings.countsPort = 8008;
        settings.usageWindow = Window;
        settings.leaseDuration = std::chrono::milliseconds(1500);
    }

    void startWithDuties()
    {
        start();
        client = std::make_unique<StoreClient>(io, timers, gateway->state().log.metrics);
        objects = std::make_unique<DutyObjectStore>(*client, store.address());
        calls = std::make_unique<DutyPlatformClient>(*client, duties.address(),
                                                     settings.host.value());
        service = std::make_unique<gateway::DutyService>(
            timers, *gateway, gateway::DutyService::Stores{*objects, *objects, *objects}, *calls,
            clock);
        service->start();
    }

    std::int64_t reported(const std::string &workspace) const
    {
        std::int64_t sum = 0;
        for (const auto &[window, counts] : duties.reports())
            sum += counts.value(workspace, std::int64_t(0));
        return sum;
    }

    standins::StandInDuties duties;
    std::unique_ptr<StoreClient> client;
    std::unique_ptr<DutyObjectStore> objects;
    std::unique_ptr<DutyPlatformClient> calls;
    std::unique_ptr<gateway::DutyService> service;
};

} // namespace

TEST_CASE("Duties.RequestsThatRanAreReportedByWorkspace")
{
    DutiesWorld world;
    standins::StandInWorker plain(world.io, world.timers, world.store, {"p1", "plain"});
    standins::StandInWorker model(world.io, world.timers, world.store, {"m1", "model"});
    world.store.put("config", "main", operatorsConfiguration());
    plain.announce("ready");
    model.announce("ready");
    world.startWithDuties();
    REQUIRE(world.awaitServing(2));
    for (int i = 0; i < 5; ++i)
        world.call(request("GET", "/safe/a", "plain" + std::to_string(i)));
    for (int i = 0; i < 3; ++i)
        world.call(
            request("POST", "/stream/a", "stream" + std::to_string(i), "b", StreamHeaders, "k2"));
    // Neither of these ran.
    world.call(request("GET", "/nowhere/a", "id1"));
    plain.setFull(true);
    world.call(request("POST", "/unsafe/a", "id2", "b"));
    CHECK(world.runUntil([&] { return world.reported("w1") == 5 && world.reported("w2") == 3; },
                         Patience));
    CHECK(world.duties.faults().empty());
}

// Guards against a request that is counted once for each endpoint that failed it.
TEST_CASE("Duties.ARequestSentTwiceCountsOnce")
{
    DutiesWorld world;
    const auto fails = [](standins::RawConnection &connection, const std::string &text, int) {
        connection.write("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: "
                         + standins::headerIn(text, "Attempt-Id")
                         + "\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n");
    };
    standins::RawPeer first(world.io, fails);
    standins::RawPeer second(world.io, fails);
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("p1", "plain", first.address());
    world.announce("p2", "plain", second.address());
    world.startWithDuties();
    REQUIRE(world.awaitServing(2));
    CHECK(world.call(request("GET", "/safe/a", "id1"))->status() == 500);
    REQUIRE(world.runUntil([&] { return world.reported("w1") > 0; }, Patience));
    CHECK(world.reported("w1") == 1);
}

// Guards against a report that changes between two tries.
TEST_CASE("Duties.AReportThatWasTurnedAwayIsSentAgainAsItWas")
{
    DutiesWorld world;
    standins::StandInWorker plain(world.io, world.timers, world.store, {"p1", "plain"});
    world.store.put("config", "main", operatorsConfiguration());
    plain.announce("ready");
    world.startWithDuties();
    REQUIRE(world.awaitServing(1));
    world.call(request("GET", "/safe/a", "id1"));
    world.duties.setStatus(503);
    world.runFor(std::chrono::seconds(4));
    CHECK(world.duties.reports().empty());
    world.duties.setStatus(200);
    CHECK(world.runUntil([&] { return world.reported("w1") == 1; }, Patience));
    CHECK(world.duties.faults().empty());
}

// Guards against a holder that keeps a lease it does not need, and duties that rest meanwhile.
TEST_CASE("Duties.APlannedStopLeavesTheLeaseFree")
{
    DutiesWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.startWithDuties();
    const auto holder = [&] {
        std::string found;
        bool isAnswered = false;
        world.objects->read([&](const duties::LeaseCallResult &answer) {
            found = answer.stored.record.holder;
            isAnswered = true;
        });
        world.runUntil([&] { return isAnswered; });
        return found;
    };
    REQUIRE(world.runUntil([&] { return !holder().empty(); }));
    world.service->stop();
    CHECK(world.runUntil([&] { return holder().empty(); }));
}

TEST_CASE("Duties.EndpointsOfAScaledPoolAreOrderedByDomainAndKind")
{
    DutiesWorld world;
    nlohmann::json configuration = operatorsConfiguration();
    configuration["services"][1]["scaling"] = {{"min", 1},
                                               {"max", 20},
                                               {"boot_s", 4.0},
                                               {"spot_price", 0.2},
                                               {"zone_prices", {{"z1", 1.0}, {"z2", 1.1}}}};
    world.store.put("config", "main", configuration);
    for (int i = 0; i < 8; ++i)
        world.announce("m" + std::to_string(i), "model", "127.0.0.1:" + std::to_string(9000 + i));
    world.startWithDuties();
    CHECK(world.runUntil([&] { return world.duties.orders().size() >= 2; }, Patience));
    for (const auto &order : world.duties.orders()) {
        CHECK(order.service == "model");
        CHECK(order.spot);
        CHECK(order.desired >= 4);
    }
    CHECK(world.duties.faults().empty());
}

// Guards against orders for pools whose number of endpoints is not ours to change.
TEST_CASE("Duties.PoolsWithoutScalingAreLeftAlone")
{
    DutiesWorld world;
    world.store.put("config", "main", operatorsConfiguration());
    world.announce("m1", "model", "127.0.0.1:9000");
    world.startWithDuties();
    world.runFor(std::chrono::seconds(3));
    CHECK(world.duties.orders().empty());
}
