#include "crashingworkers.h"

#include <monsoongrade/gateway/quarantinepersister.h>

#include <monsoongrade/units/stablehash.h>

#include <platform/quarantineobjectstore.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;

namespace {

constexpr int MaxCrashes = 3;

} // namespace

// Guards against one request that crashes every endpoint of a pool over several client attempts.
TEST_CASE("CrashingRequests.RequestThatCrashedThreeEndpointsReachesNoOther")
{
    CrashFixture fixture;
    for (int attempt = 0; attempt < 8; ++attempt)
        CHECK(fixture.callFatal("/stream/a")->status() >= 500);
    CHECK(fixture.crashes() == MaxCrashes);
}

// Guards against a gateway that retries such a request on further endpoints by itself.
TEST_CASE("CrashingRequests.RetriesWithinOneClientAttemptCountAsWell")
{
    CrashFixture fixture;
    for (int attempt = 0; attempt < 5; ++attempt)
        fixture.callFatal("/safe/a");
    CHECK(fixture.crashes() == MaxCrashes);
}

// Guards against a Retry-After that ends while the request is still refused.
TEST_CASE("CrashingRequests.RefusalSaysThatNothingRanAndWhenToRetry")
{
    CrashFixture fixture;
    for (int attempt = 0; attempt < MaxCrashes; ++attempt)
        CHECK(fixture.callFatal("/stream/a")->status() == 502);
    const auto refused = fixture.callFatal("/stream/a");
    CHECK(refused->status() == 503);
    CHECK(std::atof(headerIn(refused->received(), "Retry-After").c_str()) > 60);
}

// Guards against refusing requests that are only similar to the one that crashes endpoints.
TEST_CASE("CrashingRequests.OtherRequestsAreServed")
{
    CrashFixture fixture;
    for (int attempt = 0; attempt < MaxCrashes + 1; ++attempt)
        fixture.callFatal("/safe/a");
    CHECK(fixture.call(request("POST", "/safe/a", "id1", "other body"))->status() == 200);
    CHECK(fixture.call(request("GET", "/safe/a", "id2"))->status() == 200);
    // The same content from another workspace is not quarantined.
    const int before = fixture.crashes();
    fixture.callFatal("/safe/a", "k2");
    CHECK(fixture.crashes() > before);
}

// Guards against a quarantine for a network fault that broke one request several times.
TEST_CASE("CrashingRequests.BrokenConnectionsToLiveEndpointsQuarantineNothing")
{
    CrashFixture fixture;
    fixture.isCrashing = false;
    while (fixture.crashes() < MaxCrashes)
        fixture.callFatal("/safe/a");
    // No endpoint must be avoided below for having failed more often than others.
    for (int fatal = 0; fatal < 3; ++fatal)
        fixture.callFatal("/safe/x" + std::to_string(fatal));
    std::vector<std::shared_ptr<RawClient>> others;
    for (int other = 0; other < 60; ++other) {
        others.push_back(fixture.connect());
        others.back()->send(request("GET", "/safe/b", "o" + std::to_string(other)));
    }
    REQUIRE(fixture.runUntil([&] {
        return std::all_of(others.begin(), others.end(),
                           [](const auto &client) { return client->status() == 200; });
    }));
    const int before = fixture.crashes();
    fixture.callFatal("/safe/a");
    CHECK(fixture.crashes() > before);
}

// Guards against a quarantine of requests to which faulty workers sent bytes that are no response.
TEST_CASE("CrashingRequests.BytesThatAreNoResponseQuarantineNothing")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    int garbled = 0;
    standins::RawPeer worker(
        fixture.io, [&](standins::RawConnection &connection, const std::string &, int) {
            ++garbled;
            connection.write("this is no response\r\n\r\n");
            fixture.announce("garbling", "plain", worker.address(), garbled + 1);
        });
    fixture.announce("garbling", "plain", worker.address());
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    for (int attempt = 0; attempt < 2 * MaxCrashes; ++attempt) {
        fixture.call(request("GET", "/safe/a", "g" + std::to_string(attempt)));
        fixture.runFor(std::chrono::milliseconds(100));
    }
    CHECK(garbled >= MaxCrashes);
    CHECK(fixture.gateway->state().crashes.size() == 0);
}

namespace {

// The crash state of one host and its persistence in the store, without a gateway.
struct QuarantineHost
{
    explicit QuarantineHost(GatewayFixture &fixture)
        : timers(fixture.timers)
        , client(fixture.io, fixture.timers, metrics)
        , objects(client, fixture.store.address())
        , persister(fixture.timers, crashes, objects)
    {
    }

    static routing::EndpointInstance endpointNumber(int endpoint)
    {
        return {units::EndpointId(std::to_string(endpoint)), routing::Incarnation(1)};
    }
    void crash(int endpoint) { crashes.onCrash(request, endpointNumber(endpoint), timers.now()); }
    // As in the name of the request's object.
    std::string nameOfWorkspace() const
    {
        units::StableHash workspace;
        workspace.add(request.workspace.value());
        return routing::digestText(routing::RequestDigest(workspace.value()));
    }
    bool isQuarantined() { return crashes.quarantineRemaining(request, timers.now()).has_value(); }

    const routing::RequestIdentity request{units::WorkspaceName("w1"),
                                           routing::RequestDigest(0xfedcba9876543210)};
    httpio::Timers &timers;
    observability::Metrics metrics;
    routing::CrashTracker crashes;
    StoreClient client;
    QuarantineObjectStore objects;
    gateway::QuarantinePersister persister;
};

} // namespace

// Guards against a quarantine that is lost when all hosts are killed at once.
TEST_CASE("CrashingRequests.QuarantineSurvivesTheLossOfAllHosts")
{
    GatewayFixture fixture;
    QuarantineHost lost(fixture);
    lost.persister.start();
    for (int endpoint = 0; endpoint < MaxCrashes; ++endpoint)
        lost.crash(endpoint);
    fixture.store.setBehavior(standins::StoreBehavior::Refusing);
    fixture.runFor(std::chrono::milliseconds(1500));
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.runFor(std::chrono::milliseconds(1500));
    QuarantineHost started(fixture);
    started.persister.start();
    CHECK(fixture.runUntil([&] { return started.isQuarantined(); }));
}

// Guards against a quarantine that stays in force at running hosts when an operator deletes it.
TEST_CASE("CrashingRequests.DeletedQuarantineIsLiftedAtRunningHosts")
{
    GatewayFixture fixture;
    QuarantineHost saving(fixture);
    saving.persister.start();
    for (int endpoint = 0; endpoint < MaxCrashes; ++endpoint)
        saving.crash(endpoint);
    fixture.runFor(std::chrono::milliseconds(1500));
    QuarantineHost loading(fixture);
    loading.persister.start();
    REQUIRE(fixture.runUntil([&] { return loading.isQuarantined(); }));
    // Not while the store can't be read, nor because a list is older than the quarantine.
    fixture.store.setBehavior(standins::StoreBehavior::Refusing);
    fixture.runFor(std::chrono::milliseconds(5500));
    CHECK(saving.isQuarantined());
    CHECK(loading.isQuarantined());
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.store.remove("quarantined-requests", "fedcba9876543210-" + saving.nameOfWorkspace());
    CHECK(fixture.runUntil([&] { return !saving.isQuarantined() && !loading.isQuarantined(); },
                           std::chrono::seconds(10)));
}

// Guards against a longer quarantine after a restart of all hosts, as crashes of brittle endpoints
// would count in full.
TEST_CASE("CrashingRequests.StoredCrashesOfBrittleEndpointsCountHalf")
{
    GatewayFixture fixture;
    QuarantineHost lost(fixture);
    lost.persister.start();
    for (int endpoint = 0; endpoint < 2 * MaxCrashes; ++endpoint) {
        lost.crashes.onBrittle(QuarantineHost::endpointNumber(endpoint), lost.timers.now());
        lost.crash(endpoint);
    }
    fixture.runFor(std::chrono::milliseconds(1500));
    QuarantineHost started(fixture);
    started.persister.start();
    REQUIRE(fixture.runUntil([&] { return started.isQuarantined(); }));
    CHECK(*started.crashes.quarantineRemaining(started.request, started.timers.now())
          <= std::chrono::minutes(10));
}

// Guards against refusing a request after a restart although its quarantine was cleared before.
TEST_CASE("CrashingRequests.ClearedQuarantineIsRemovedFromTheStore")
{
    GatewayFixture fixture;
    QuarantineHost host(fixture);
    host.persister.start();
    for (int endpoint = 0; endpoint < MaxCrashes; ++endpoint)
        host.crash(endpoint);
    fixture.runFor(std::chrono::milliseconds(1500));
    host.crashes.onCompleted(host.request, host.timers.now());
    fixture.runFor(std::chrono::milliseconds(1500));
    QuarantineHost started(fixture);
    started.persister.start();
    fixture.runFor(std::chrono::milliseconds(300));
    CHECK_FALSE(started.isQuarantined());
}
