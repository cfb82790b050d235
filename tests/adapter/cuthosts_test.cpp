#include "cuthosts.h"

#include <thread>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::LinkFault;
using std::chrono::milliseconds;

namespace {

// Time from the start of a cut in which a host has to find another way.
constexpr auto TimeToNotice = milliseconds(3000);
constexpr auto Interval = milliseconds(50);

// Whether at least two thirds were served.
bool mostServed(const std::vector<int> &statuses)
{
    const auto served = std::count(statuses.begin(), statuses.end(), 200);
    return served * 3 >= std::ptrdiff_t(statuses.size()) * 2;
}

void checkServedAfterCut(const std::string &service, const std::string &path, LinkFault fault)
{
    CutHostsFixture fixture;
    CHECK(mostServed(fixture.callFor(fixture.cutHost, path, milliseconds(300), Interval)));
    fixture.cut(service, fault);
    fixture.callFor(fixture.cutHost, path, TimeToNotice, Interval);
    CHECK(mostServed(fixture.callFor(fixture.cutHost, path, milliseconds(1000), Interval)));
    CHECK(mostServed(fixture.callFor(fixture.otherHost, path, milliseconds(500), Interval)));
    CHECK(fixture.mostRunsOfARequest() == 1);
}

} // namespace

// Guards against a host that refuses all requests because its own path to the endpoints is silent.
TEST_CASE("CutHosts.PlainRequestsAreServedInASilentCut")
{
    checkServedAfterCut("plain", "/unsafe/a", LinkFault::Silent);
}

// Guards against a host that refuses all requests because its own path to the endpoints is reset.
TEST_CASE("CutHosts.PlainRequestsAreServedInACutWithResets")
{
    checkServedAfterCut("plain", "/unsafe/a", LinkFault::Reset);
}

// Guards against a host that cannot open connections once those that it has are closed.
TEST_CASE("CutHosts.PlainRequestsAreServedWhenNewConnectionsAreRefused")
{
    checkServedAfterCut("plain", "/unsafe/a", LinkFault::Refuse);
}

// Guards against streams that are refused at a host whose own path to the engines is silent.
TEST_CASE("CutHosts.StreamsAreServedInASilentCut")
{
    checkServedAfterCut("model", "/stream/a", LinkFault::Silent);
}

// Guards against streams that are refused at a host whose own path to the engines is reset.
TEST_CASE("CutHosts.StreamsAreServedInACutWithResets")
{
    checkServedAfterCut("model", "/stream/a", LinkFault::Reset);
}

// Guards against a host that suspends sound endpoints for others because its own path is gone.
TEST_CASE("CutHosts.OtherHostServesAllStreamsThroughoutTheCut")
{
    CutHostsFixture fixture;
    fixture.callFor(fixture.cutHost, "/stream/a", milliseconds(300), Interval);
    fixture.cut("model", LinkFault::Silent);
    std::vector<std::shared_ptr<RawClient>> clients;
    for (int i = 0; i < 16; ++i)
        fixture.send(fixture.cutHost, "/stream/a");
    for (int i = 0; i < 60; ++i) {
        fixture.send(fixture.cutHost, "/stream/a");
        clients.push_back(fixture.send(fixture.otherHost, "/stream/a"));
        fixture.runFor(Interval);
    }
    fixture.runFor(milliseconds(500));
    const auto served = std::count_if(clients.begin(), clients.end(), [](const auto &client) {
        return client->isComplete() && client->status() == 200;
    });
    CHECK(served == std::ptrdiff_t(clients.size()));
}

// Guards against a request that hosts without a path pass to each other.
TEST_CASE("CutHosts.ForwardedRequestIsNotForwardedAgain")
{
    CutHostsFixture fixture;
    fixture.cut("plain", LinkFault::Silent);
    fixture.callFor(fixture.cutHost, "/unsafe/a", milliseconds(1500), Interval);
    const auto reach = [&] {
        return fixture.cutHost.gateway->state().reach.lostPools().size();
    };
    REQUIRE(reach() == 1);
    const auto client = fixture.sendAsHost(fixture.cutHost, "/unsafe/a");
    fixture.runUntil([&] { return client->isComplete(); });
    CHECK(client->status() == 503);
    CHECK_FALSE(standins::headerIn(client->received(), "Retry-After").empty());
}

// Guards against a host that keeps using others after its path has come back.
TEST_CASE("CutHosts.RequestsGoToTheEndpointsAgainAfterTheCut")
{
    CutHostsFixture fixture;
    fixture.cut("plain", LinkFault::Silent);
    fixture.callFor(fixture.cutHost, "/unsafe/a", milliseconds(1500), Interval);
    const auto &reach = fixture.cutHost.gateway->state().reach;
    REQUIRE(reach.lostPools().size() == 1);
    fixture.heal("plain");
    CHECK(fixture.runUntil([&] { return reach.lostPools().empty(); }, milliseconds(1500)));
    CHECK(mostServed(fixture.callFor(fixture.cutHost, "/unsafe/a", milliseconds(300), Interval)));
}

// Guards against a caller that waits for its deadline when no host can reach the endpoints.
TEST_CASE("CutHosts.RequestIsRefusedWhenTheOtherHostIsLeaving")
{
    CutHostsFixture fixture;
    fixture.otherHost.gateway->stop([] {});
    fixture.cut("plain", LinkFault::Reset);
    fixture.callFor(fixture.cutHost, "/unsafe/a", milliseconds(2500), Interval);
    const auto client = fixture.send(fixture.cutHost, "/unsafe/a");
    CHECK(fixture.runUntil([&] { return client->isComplete(); }, milliseconds(1300)));
    CHECK(client->status() == 503);
    CHECK_FALSE(standins::headerIn(client->received(), "Retry-After").empty());
}

// Guards against work for callers that left, when another host does it.
TEST_CASE("CutHosts.CallerThatLeavesEndsItsStreamAtTheOtherHost")
{
    CutHostsFixture fixture;
    fixture.cut("model", LinkFault::Reset);
    fixture.callFor(fixture.cutHost, "/stream/a", milliseconds(1500), Interval);
    fixture.setEndless();
    const int before = fixture.clientsDisconnected();
    const auto client = fixture.send(fixture.cutHost, "/stream/a");
    REQUIRE(fixture.runUntil([&] { return client->status() == 200; }));
    client->close();
    CHECK(fixture.runUntil([&] { return fixture.clientsDisconnected() > before; },
                           milliseconds(500)));
}

// Guards against requests that are passed on for clients that left before they were read.
TEST_CASE("CutHosts.RequestsOfClientsThatLeftAreNotForwarded")
{
    CutHostsFixture fixture;
    fixture.cut("plain", LinkFault::Reset);
    fixture.callFor(fixture.cutHost, "/unsafe/a", milliseconds(1500), Interval);
    REQUIRE_FALSE(fixture.cutHost.gateway->state().reach.lostPools().empty());
    const std::size_t before = fixture.arrived();
    std::vector<std::shared_ptr<RawClient>> clients(12);
    for (auto &client : clients)
        client = fixture.send(fixture.cutHost, "/unsafe/a");
    for (const auto &client : clients)
        client->close();
    std::this_thread::sleep_for(milliseconds(50));
    fixture.runFor(milliseconds(300));
    CHECK(fixture.arrived() == before);
}
