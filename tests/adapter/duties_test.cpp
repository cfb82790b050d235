#include "gatewayfixture.h"

#include "../platform_standin/standinduties.h"

#include <monsoongrade/gateway/dutyservice.h>

#include <platform/dutyobjectstore.h>
#include <platform/dutyplatformclient.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

constexpr auto Window = std::chrono::seconds(1);
constexpr auto ReportTimeout = std::chrono::seconds(12);

// One gateway that runs the duties, against a stand-in for the platform's store and API.
class DutiesFixture : public GatewayFixture
{
public:
    DutiesFixture()
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
    DutiesFixture fixture;
    standins::StandInWorker plain(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    standins::StandInWorker model(fixture.io, fixture.timers, fixture.store, {"m1", "model"});
    fixture.store.put("config", "main", operatorConfiguration());
    plain.announce("ready");
    model.announce("ready");
    fixture.startWithDuties();
    REQUIRE(fixture.awaitServing(2));
    for (int i = 0; i < 5; ++i)
        fixture.call(request("GET", "/safe/a", "plain" + std::to_string(i)));
    for (int i = 0; i < 3; ++i)
        fixture.call(
            request("POST", "/stream/a", "stream" + std::to_string(i), "b", StreamHeaders, "k2"));
    // Neither of these ran.
    fixture.call(request("GET", "/nowhere/a", "id1"));
    plain.setFull(true);
    fixture.call(request("POST", "/unsafe/a", "id2", "b"));
    CHECK(fixture.runUntil(
        [&] { return fixture.reported("w1") == 5 && fixture.reported("w2") == 3; }, ReportTimeout));
    CHECK(fixture.duties.faults().empty());
}

// Guards against counting a request once for each endpoint that failed it.
TEST_CASE("Duties.RequestSentTwiceCountsOnce")
{
    DutiesFixture fixture;
    const auto fails = [](standins::RawConnection &connection, const std::string &text, int) {
        connection.write("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: "
                         + standins::headerIn(text, "Attempt-Id")
                         + "\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n");
    };
    standins::RawPeer first(fixture.io, fails);
    standins::RawPeer second(fixture.io, fails);
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("p1", "plain", first.address());
    fixture.announce("p2", "plain", second.address());
    fixture.startWithDuties();
    REQUIRE(fixture.awaitServing(2));
    CHECK(fixture.call(request("GET", "/safe/a", "id1"))->status() == 500);
    REQUIRE(fixture.runUntil([&] { return fixture.reported("w1") > 0; }, ReportTimeout));
    CHECK(fixture.reported("w1") == 1);
}

// Guards against a report that changes between two attempts to send it.
TEST_CASE("Duties.RejectedReportIsRetriedUnchanged")
{
    DutiesFixture fixture;
    standins::StandInWorker plain(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    fixture.store.put("config", "main", operatorConfiguration());
    plain.announce("ready");
    fixture.startWithDuties();
    REQUIRE(fixture.awaitServing(1));
    fixture.call(request("GET", "/safe/a", "id1"));
    fixture.duties.setStatus(503);
    fixture.runFor(std::chrono::seconds(4));
    CHECK(fixture.duties.reports().empty());
    fixture.duties.setStatus(200);
    CHECK(fixture.runUntil([&] { return fixture.reported("w1") == 1; }, ReportTimeout));
    CHECK(fixture.duties.faults().empty());
}

// Guards against a stopping holder that keeps the lease, so that no host runs the duties.
TEST_CASE("Duties.PlannedStopReleasesTheLease")
{
    DutiesFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.startWithDuties();
    const auto holder = [&] {
        std::string found;
        bool isAnswered = false;
        fixture.objects->read([&](const duties::LeaseCallResult &response) {
            found = response.stored.record.holder;
            isAnswered = true;
        });
        fixture.runUntil([&] { return isAnswered; });
        return found;
    };
    REQUIRE(fixture.runUntil([&] { return !holder().empty(); }));
    fixture.service->stop();
    CHECK(fixture.runUntil([&] { return holder().empty(); }));
}

TEST_CASE("Duties.EndpointsOfAScaledPoolAreOrderedByDomainAndKind")
{
    DutiesFixture fixture;
    nlohmann::json configuration = operatorConfiguration();
    configuration["services"][1]["scaling"] = {{"min", 1},
                                               {"max", 20},
                                               {"boot_s", 4.0},
                                               {"spot_price", 0.2},
                                               {"zone_prices", {{"z1", 1.0}, {"z2", 1.1}}}};
    fixture.store.put("config", "main", configuration);
    for (int i = 0; i < 8; ++i)
        fixture.announce("m" + std::to_string(i), "model", "127.0.0.1:" + std::to_string(9000 + i));
    fixture.startWithDuties();
    CHECK(fixture.runUntil([&] { return fixture.duties.orders().size() >= 2; }, ReportTimeout));
    for (const auto &order : fixture.duties.orders()) {
        CHECK(order.service == "model");
        CHECK(order.spot);
        CHECK(order.desired >= 4);
    }
    CHECK(fixture.duties.faults().empty());
}

// Guards against orders for pools whose number of endpoints this product must not change.
TEST_CASE("Duties.PoolsWithoutScalingGetNoOrders")
{
    DutiesFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    fixture.announce("m1", "model", "127.0.0.1:9000");
    fixture.startWithDuties();
    fixture.runFor(std::chrono::seconds(3));
    CHECK(fixture.duties.orders().empty());
}
