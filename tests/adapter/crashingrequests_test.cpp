#include "gatewayworld.h"

#include <monsoongrade/gateway/quarantinepersister.h>

#include <platform/quarantineobjectstore.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using standins::RawConnection;
using standins::RawPeer;

namespace {

const std::string FatalBody = "fatal";

// A gateway and workers, each of which crashes when it begins to run one certain request, and is
// back at once as a new process.
class CrashWorld : public GatewayWorld
{
public:
    CrashWorld()
    {
        store.put("config", "main", operatorsConfiguration());
        for (std::size_t i = 0; i < Workers; ++i) {
            peers_.push_back(std::make_unique<RawPeer>(
                io, [this, i](RawConnection &connection, const std::string &text, int) {
                    answer(i, connection, text);
                }));
            announceWorker(i);
        }
        start();
        REQUIRE(awaitServing(2 * Workers));
    }

    // False: workers only break the connection of the fatal request, and go on.
    bool isCrashing = true;
    int crashes() const { return crashes_; }
    std::shared_ptr<RawClient> callFatal(const std::string &path, const std::string &key = "k1")
    {
        auto client = call(request("POST", path, "f" + std::to_string(++attempts_), FatalBody,
                                   path.find("/safe/") == 0 ? "" : StreamHeaders, key));
        // The gateway hears of the workers' new processes.
        runFor(std::chrono::milliseconds(30));
        return client;
    }

private:
    static constexpr std::size_t Workers = 8;

    void announceWorker(std::size_t index)
    {
        for (const char *service : {"plain", "model"})
            announce(service + std::to_string(index), service, peers_[index]->address(), ++born_);
    }
    void answer(std::size_t index, RawConnection &connection, const std::string &text)
    {
        const std::string id = headerIn(text, "Attempt-Id");
        const bool isFatal = text.find("\r\n\r\n" + FatalBody) != std::string::npos;
        if (!isFatal) {
            connection.write(workerResponse(id, "fine"));
            return;
        }
        ++crashes_;
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                         + "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.reset();
        if (isCrashing)
            announceWorker(index);
    }

    std::vector<std::unique_ptr<RawPeer>> peers_;
    int crashes_ = 0;
    int attempts_ = 0;
    std::int64_t born_ = 0;
};

constexpr int MaxCrashes = 3;

} // namespace

// Guards against one request that crashes every endpoint of a pool, one client attempt after
// another.
TEST_CASE("CrashingRequests.RequestThatCrashedThreeEndpointsReachesNoOther")
{
    CrashWorld world;
    for (int attempt = 0; attempt < 8; ++attempt)
        CHECK(world.callFatal("/stream/a")->status() >= 500);
    CHECK(world.crashes() == MaxCrashes);
}

// Guards against a gateway that sends such a request to further endpoints by itself.
TEST_CASE("CrashingRequests.RetriesWithinOneClientAttemptCountAsWell")
{
    CrashWorld world;
    for (int attempt = 0; attempt < 5; ++attempt)
        world.callFatal("/safe/a");
    CHECK(world.crashes() == MaxCrashes);
}

// Guards against a refusal that tells callers to come back while the request is still refused.
TEST_CASE("CrashingRequests.RefusalSaysThatNothingRanAndWhenTheRequestIsTakenAgain")
{
    CrashWorld world;
    for (int attempt = 0; attempt < MaxCrashes; ++attempt)
        CHECK(world.callFatal("/stream/a")->status() == 502);
    const auto refused = world.callFatal("/stream/a");
    CHECK(refused->status() == 503);
    CHECK(std::atof(headerIn(refused->received(), "Retry-After").c_str()) > 60);
}

// Guards against refusing requests that only resemble the one that crashes endpoints.
TEST_CASE("CrashingRequests.OtherRequestsAreServed")
{
    CrashWorld world;
    for (int attempt = 0; attempt < MaxCrashes + 1; ++attempt)
        world.callFatal("/safe/a");
    CHECK(world.call(request("POST", "/safe/a", "id1", "other body"))->status() == 200);
    CHECK(world.call(request("GET", "/safe/a", "id2"))->status() == 200);
    // The same content from another workspace is not known to crash endpoints.
    const int before = world.crashes();
    world.callFatal("/safe/a", "k2");
    CHECK(world.crashes() > before);
}

// Guards against a quarantine for a network fault that broke one request several times.
TEST_CASE("CrashingRequests.BrokenConnectionsToLiveEndpointsQuarantineNothing")
{
    CrashWorld world;
    world.isCrashing = false;
    while (world.crashes() < MaxCrashes)
        world.callFatal("/safe/a");
    // No endpoint is avoided for having failed more often than others.
    for (int fatal = 0; fatal < 3; ++fatal)
        world.callFatal("/safe/x" + std::to_string(fatal));
    std::vector<std::shared_ptr<RawClient>> others;
    for (int other = 0; other < 60; ++other) {
        others.push_back(world.connect());
        others.back()->send(request("GET", "/safe/b", "o" + std::to_string(other)));
    }
    REQUIRE(world.runUntil([&] {
        return std::all_of(others.begin(), others.end(),
                           [](const auto &client) { return client->status() == 200; });
    }));
    const int before = world.crashes();
    world.callFatal("/safe/a");
    CHECK(world.crashes() > before);
}

namespace {

// What one host knows of crashes, with the store that keeps it; without a gateway.
struct KeepingHost
{
    explicit KeepingHost(GatewayWorld &world)
        : timers(world.timers)
        , client(world.io, world.timers, metrics)
        , objects(client, world.store.address())
        , keeper(world.timers, crashes, objects)
    {
    }

    void crash(int endpoint)
    {
        crashes.onCrash(request,
                        {units::EndpointId(std::to_string(endpoint)), routing::Incarnation(1)},
                        timers.now());
    }
    bool isQuarantined() { return crashes.quarantineRemaining(request, timers.now()).has_value(); }

    const routing::RequestIdentity request{units::WorkspaceName("w1"),
                                           routing::RequestDigest(0xfedcba9876543210)};
    httpio::Timers &timers;
    observability::Metrics metrics;
    routing::CrashTracker crashes;
    StoreClient client;
    QuarantineObjectStore objects;
    gateway::QuarantinePersister keeper;
};

} // namespace

// Guards against a quarantine that is forgotten when all hosts are killed at once.
TEST_CASE("CrashingRequests.QuarantineSurvivesTheLossOfAllHosts")
{
    GatewayWorld world;
    KeepingHost lost(world);
    lost.keeper.start();
    for (int endpoint = 0; endpoint < MaxCrashes; ++endpoint)
        lost.crash(endpoint);
    world.store.setBehavior(standins::StoreBehavior::Refusing);
    world.runFor(std::chrono::milliseconds(1500));
    world.store.setBehavior(standins::StoreBehavior::Normal);
    world.runFor(std::chrono::milliseconds(1500));
    KeepingHost started(world);
    started.keeper.start();
    CHECK(world.runUntil([&] { return started.isQuarantined(); }));
}

// Guards against refusing a request after a restart that had been cleared before it.
TEST_CASE("CrashingRequests.ClearedQuarantineIsRemovedFromTheStore")
{
    GatewayWorld world;
    KeepingHost host(world);
    host.keeper.start();
    for (int endpoint = 0; endpoint < MaxCrashes; ++endpoint)
        host.crash(endpoint);
    world.runFor(std::chrono::milliseconds(1500));
    host.crashes.onCompleted(host.request, host.timers.now());
    world.runFor(std::chrono::milliseconds(1500));
    KeepingHost started(world);
    started.keeper.start();
    world.runFor(std::chrono::milliseconds(300));
    CHECK_FALSE(started.isQuarantined());
}
