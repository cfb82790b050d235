#include "gatewayworld.h"

#include <doctest/doctest.h>

#include <regex>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

// Sum of all series of a metric in the text of a metrics page.
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
    // Requests end in every way that there is: answered, refused for several reasons, failed by
    // the worker, left by the client, and one is still open. Each is counted once.
    GatewayWorld world;
    world.settings.metricsPort = 8006;
    standins::StandInWorker plain(world.io, world.timers, world.store, {"p1", "plain"});
    standins::StandInWorker model(world.io, world.timers, world.store,
                                  {"m1", "model", "z1", 8, std::chrono::milliseconds(5), 1000});
    world.store.put("config", "main", operatorsConfiguration());
    plain.announce("ready");
    model.announce("ready");
    world.start();
    REQUIRE(world.awaitServing(2));
    world.call(request("GET", "/safe/a", "id1"));
    world.call(request("GET", "/nowhere/a", "id2"));
    world.call(request("GET", "/safe/a", "id3", "", "", "wrong"));
    plain.setFull(true);
    world.call(request("POST", "/unsafe/a", "id4", "b"));
    const auto leaving = world.connect();
    leaving->send(request("POST", "/stream/a", "id5", "b", StreamHeaders));
    REQUIRE(world.runUntil([&] { return leaving->status() == 200; }));
    leaving->close();
    const auto open = world.connect();
    open->send(request("POST", "/stream/a", "id6", "b", StreamHeaders));
    REQUIRE(world.runUntil([&] { return open->status() == 200; }));
    world.runFor(std::chrono::milliseconds(50));

    const std::string page = world.callPage(world.settings.ip + ":8006", "/metrics")->received();
    const double accepted = sumOf(page, "monsoongrade_gateway_requests_accepted_total");
    const double ended = sumOf(page, "monsoongrade_gateway_requests_ended_total");
    const double inFlight = sumOf(page, "monsoongrade_gateway_requests_in_flight");
    CHECK(accepted == 6);
    CHECK(inFlight == 1);
    CHECK(accepted == ended + inFlight);
    CHECK(page.find("monsoongrade_gateway_first_byte_seconds_bucket") != std::string::npos);
}
