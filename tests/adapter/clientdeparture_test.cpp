#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

constexpr int Clients = 12;

// A gateway before one plain worker and one engine, with a kept connection to each.
class DepartureFixture : public GatewayFixture
{
public:
    // Connections that stay open after the first requests.
    static constexpr std::size_t OpenConnections = 2;

    DepartureFixture()
        : plain_(io, timers, store, {"p0", "plain", "z1", 64})
        , engine_(io, timers, store, {"e0", "model", "z1", 64})
    {
        store.put("config", "main", operatorConfiguration());
        plain_.announce("ready");
        engine_.announce("ready");
        start();
        REQUIRE(awaitServing(2));
        REQUIRE(call(request("POST", "/unsafe/a", "first", "b"))->status() == 200);
        REQUIRE(call(request("POST", "/stream/a", "second", "b", StreamHeaders))->status() == 200);
    }

    std::string requestFor(const std::string &path)
    {
        const bool isStream = path == "/stream/a" || path == "/resume/a";
        return request("POST", path, "id" + std::to_string(++calls_), "b",
                       isStream ? StreamHeaders : "");
    }

    // Number of requests that reach an endpoint although their clients left while the host, which
    // had no processor time, had not read them yet.
    std::size_t sentAfterDeparture(const std::string &path)
    {
        const std::size_t before = arrived();
        std::vector<std::shared_ptr<RawClient>> clients;
        for (int i = 0; i < Clients; ++i) {
            clients.push_back(connect());
            clients.back()->send(requestFor(path));
        }
        for (const auto &client : clients)
            client->close();
        std::this_thread::sleep_for(milliseconds(50));
        runFor(milliseconds(300));
        return arrived() - before;
    }

    std::size_t arrived() const { return plain_.arrivals().size() + engine_.arrivals().size(); }

private:
    standins::StandInWorker plain_;
    standins::StandInWorker engine_;
    int calls_ = 0;
};

} // namespace

// Guards against work for clients that left before a busy host had read their requests.
TEST_CASE("ClientDeparture.UnreadRequestsOfClientsThatLeftAreNotSent")
{
    DepartureFixture fixture;
    for (const std::string path : {"/safe/a", "/unsafe/a", "/stream/a", "/resume/a"}) {
        CAPTURE(path);
        CHECK(fixture.sentAfterDeparture(path) == 0);
    }
}

// Guards against work for clients that left while their connections waited to be accepted.
TEST_CASE("ClientDeparture.RequestsOfConnectionsAcceptedAfterTheirClientLeftAreNotSent")
{
    DepartureFixture fixture;
    fixture.gateway->state().callerLimits.maxConnections = DepartureFixture::OpenConnections + 1;
    const auto first = fixture.connect();
    first->send(fixture.requestFor("/safe/a"));
    REQUIRE(fixture.runUntil([&] { return first->isComplete(); }));
    const std::size_t before = fixture.arrived();
    for (int i = 0; i < Clients; ++i) {
        const auto waiting = fixture.connect();
        waiting->send(fixture.requestFor("/safe/a"));
        waiting->close();
    }
    fixture.runFor(milliseconds(50));
    first->close();
    fixture.runFor(milliseconds(300));
    CHECK(fixture.arrived() == before);
}

// Guards against a check of the connection that takes a client with further bytes for one that
// left.
TEST_CASE("ClientDeparture.ClientsThatSendTheirNextRequestEarlyAreServed")
{
    DepartureFixture fixture;
    const auto client = fixture.connect();
    client->send(fixture.requestFor("/safe/a") + fixture.requestFor("/safe/a"));
    const std::size_t before = fixture.arrived();
    CHECK(fixture.runUntil([&] { return fixture.arrived() == before + 2; }));
}
