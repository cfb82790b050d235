#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t Descriptors = 128;
constexpr std::size_t MaxConnections = 48; // half of what files leave of the descriptors
constexpr std::size_t MaxRefused = 3;
constexpr auto Idle = milliseconds(1100); // after which a connection may be closed to make room

// A gateway with few descriptors before a worker that responds after a while.
struct BoundedHost : GatewayFixture
{
    explicit BoundedHost(milliseconds workTime = milliseconds(0))
        : worker(io, timers, store, {"p1", "plain", "z1", 200, workTime})
    {
        settings.maxDescriptors = Descriptors;
        nlohmann::json configuration = operatorConfiguration();
        for (nlohmann::json &service : configuration["services"])
            service["max_connections"] = 200;
        store.put("config", "main", configuration);
        worker.announce("ready");
        start();
        REQUIRE(awaitServing(1));
    }

    // Sends a request on each of so many new connections.
    std::vector<std::shared_ptr<RawClient>> send(std::size_t connections, const std::string &prefix)
    {
        std::vector<std::shared_ptr<RawClient>> clients;
        clients.reserve(connections);
        for (std::size_t i = 0; i < connections; ++i) {
            clients.push_back(connect());
            clients.back()->send(request("GET", "/safe/a", prefix + std::to_string(i)));
        }
        return clients;
    }
    bool awaitAnswers(const std::vector<std::shared_ptr<RawClient>> &clients)
    {
        return runUntil([&] {
            return std::all_of(clients.begin(), clients.end(),
                               [](const auto &client) { return client->isComplete(); });
        });
    }
    int readiness() { return getPage(settings.readinessAddress, "/ready")->status(); }

    standins::StandInWorker worker;
};

std::size_t countStatus(const std::vector<std::shared_ptr<RawClient>> &clients, int status)
{
    return std::size_t(std::count_if(clients.begin(), clients.end(), [status](const auto &client) {
        return client->status() == status;
    }));
}

std::size_t countClosed(const std::vector<std::shared_ptr<RawClient>> &clients)
{
    return std::size_t(std::count_if(clients.begin(), clients.end(),
                                     [](const auto &client) { return client->isClosed(); }));
}

} // namespace

// Guards against taking no new connection while idle ones use up the bound, on a ready host.
TEST_CASE("ConnectionBound.IdleConnectionsMakeRoomForNewOnes")
{
    BoundedHost host;
    const auto first = host.send(MaxConnections, "first");
    REQUIRE(host.awaitAnswers(first));
    host.runFor(Idle);
    const auto used = std::vector(first.begin(), first.begin() + 10);
    for (const auto &client : used) {
        client->clear();
        client->send(request("GET", "/safe/a", "again"));
    }
    REQUIRE(host.awaitAnswers(used));
    const auto second = host.send(20, "second");
    CHECK(host.awaitAnswers(second));
    CHECK(countStatus(second, 200) == 20);
    CHECK(countClosed(second) == 0);
    CHECK(host.readiness() == 200);
    // Those that were idle longest were closed.
    CHECK(countClosed(first) == 20);
    CHECK(countClosed(used) == 0);
}

// Guards against closing a connection whose client has just sent its next request.
TEST_CASE("ConnectionBound.UnreadRequestKeepsItsConnection")
{
    BoundedHost host;
    const auto first = host.send(MaxConnections, "first");
    REQUIRE(host.awaitAnswers(first));
    host.runFor(Idle);
    // All are in the kernel before the host runs again, the new connections first.
    const auto second = host.send(10, "second");
    for (const auto &client : first) {
        client->clear();
        client->send(request("GET", "/safe/a", "next"));
    }
    CHECK(host.awaitAnswers(first));
    CHECK(countStatus(first, 200) == MaxConnections);
}

// Guards against leaving new clients without an answer while no connection is idle.
TEST_CASE("ConnectionBound.FullHostRefusesAtOnceAndIsNotReady")
{
    BoundedHost host(milliseconds(1500));
    const auto first = host.send(MaxConnections, "first");
    REQUIRE(host.runUntil([&] { return host.worker.runs().size() == MaxConnections; }));
    CHECK(host.readiness() == 200);
    const auto refused = host.send(MaxRefused, "second");
    REQUIRE(
        host.runUntil([&] { return countStatus(refused, 503) == MaxRefused; }, milliseconds(300)));
    for (const auto &client : refused) {
        CHECK_FALSE(standins::headerIn(client->received(), "Retry-After").empty());
        CHECK(standins::headerIn(client->received(), "Connection") == "close");
    }
    CHECK(host.readiness() == 503);
    CHECK(host.worker.runs().size() == MaxConnections);
    CHECK(host.awaitAnswers(first));
    CHECK(countStatus(first, 200) == MaxConnections);
    host.runFor(milliseconds(2100));
    CHECK(host.readiness() == 200);
    CHECK(host.call(request("GET", "/safe/a", "third"))->status() == 200);
}

// Guards against clients that connect and send nothing, and would hold the last connections.
TEST_CASE("ConnectionBound.SilentClientsDoNotKeepOthersOut")
{
    BoundedHost host(milliseconds(1500));
    const auto first = host.send(MaxConnections, "first");
    REQUIRE(host.runUntil([&] { return host.worker.runs().size() == MaxConnections; }));
    std::vector<std::shared_ptr<RawClient>> silent;
    silent.reserve(MaxRefused);
    for (std::size_t i = 0; i < MaxRefused; ++i)
        silent.push_back(host.connect());
    host.runFor(milliseconds(100));
    const auto later = host.send(1, "later");
    CHECK(host.runUntil([&] { return later.front()->status() == 503; }, milliseconds(1300)));
    CHECK(countClosed(silent) == MaxRefused);
}

// Guards against a list of addresses that nobody gets, as callers keep connections open.
TEST_CASE("ConnectionBound.AddressesAreListedWhileIdleCallersFillTheDirectory")
{
    BoundedHost host;
    constexpr std::size_t Connections = 16; // more than the directory keeps
    std::vector<std::shared_ptr<RawClient>> idle;
    idle.reserve(Connections);
    for (std::size_t i = 0; i < Connections; ++i)
        idle.push_back(
            RawClient::connect(host.io, *httpio::parseAddress(host.settings.directoryAddress)));
    host.runFor(Idle);
    CHECK(host.getPage(host.settings.directoryAddress, "/resolve?zone=z1")->status() == 200);
}
