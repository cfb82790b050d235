#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <regex>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

// Sum of all series of a metric in the response of the metrics endpoint.
double sumOf(const std::string &page, const std::string &name)
{
    double sum = 0;
    const std::regex line("\n" + name + R"((?:\{[^\n]*\})? ([0-9.e+-]+))");
    for (std::sregex_iterator it(page.begin(), page.end(), line), end; it != end; ++it)
        sum += std::stod((*it)[1].str());
    return sum;
}

} // namespace

TEST_CASE("Accounting.AcceptedIsTheSumOfEndedAndInFlight")
{
    // Requests end in every possible way: answered, refused for several reasons, failed by the
    // worker, abandoned by the client; one is still open. Each is counted once.
    GatewayFixture fixture;
    fixture.settings.metricsPort = 8006;
    standins::StandInWorker plain(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    standins::StandInWorker model(fixture.io, fixture.timers, fixture.store,
                                  {"m1", "model", "z1", 8, std::chrono::milliseconds(5), 1000});
    fixture.store.put("config", "main", operatorConfiguration());
    plain.announce("ready");
    model.announce("ready");
    fixture.start();
    REQUIRE(fixture.awaitServing(2));
    fixture.call(request("GET", "/safe/a", "id1"));
    fixture.call(request("GET", "/nowhere/a", "id2"));
    fixture.call(request("GET", "/safe/a", "id3", "", "", "wrong"));
    plain.setFull(true);
    fixture.call(request("POST", "/unsafe/a", "id4", "b"));
    const auto leaving = fixture.connect();
    leaving->send(request("POST", "/stream/a", "id5", "b", StreamHeaders));
    REQUIRE(fixture.runUntil([&] { return leaving->status() == 200; }));
    leaving->close();
    const auto open = fixture.connect();
    open->send(request("POST", "/stream/a", "id6", "b", StreamHeaders));
    REQUIRE(fixture.runUntil([&] { return open->status() == 200; }));
    fixture.runFor(std::chrono::milliseconds(50));

    const std::string page = fixture.getPage(fixture.settings.ip + ":8006", "/metrics")->received();
    const double accepted = sumOf(page, "monsoongrade_gateway_requests_accepted_total");
    const double ended = sumOf(page, "monsoongrade_gateway_requests_ended_total");
    const double inFlight = sumOf(page, "monsoongrade_gateway_requests_in_flight");
    CHECK(accepted == 6);
    CHECK(inFlight == 1);
    CHECK(accepted == ended + inFlight);
    CHECK(page.find("monsoongrade_gateway_first_byte_seconds_bucket") != std::string::npos);
}
