#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using std::chrono::milliseconds;

namespace {

// A gateway and two workers, each with one bounded behavior.
struct HeldConnections : GatewayFixture
{
    HeldConnections()
    {
        store.put("config", "main", operatorConfiguration());
        for (int i = 0; i < 2; ++i) {
            workers.push_back(std::make_unique<standins::RawPeer>(
                io, [this](standins::RawConnection &connection, const std::string &text, int) {
                    respond(connection, headerIn(text, "Attempt-Id"));
                }));
            announce("p" + std::to_string(i), "plain", workers.back()->address());
        }
        start();
        REQUIRE(awaitServing(2));
    }

    // Sends a request and waits until the gateway opens its connection to an endpoint.
    std::shared_ptr<RawClient> callUntilOpened(std::size_t connections)
    {
        auto client = connect();
        client->send(request("GET", "/safe/a", "id1"));
        REQUIRE(runUntil([&] { return gateway->state().connections.opened() == connections; }));
        return client;
    }
    int status(const std::shared_ptr<RawClient> &client)
    {
        REQUIRE(runUntil([&] { return client->isComplete() || client->isClosed(); }));
        return client->status();
    }
    // Connections that are neither idle nor closed.
    int inUse()
    {
        int open = 0;
        for (const auto &endpoint : gateway->state().registry.available(units::PoolName("plain")))
            open += gateway->state().connections.open(*endpoint);
        return open - int(gateway->state().connections.idle());
    }

    std::vector<std::unique_ptr<standins::RawPeer>> workers;
    enum class Response { Success, Error, Broken, None } response = Response::Success;

private:
    void respond(standins::RawConnection &connection, const std::string &id) const
    {
        if (response == Response::Broken)
            connection.reset();
        else if (response == Response::Error)
            connection.write("HTTP/1.1 500 Error\r\nAttempt-Id: " + id
                             + "\r\nContent-Length: 0\r\n\r\n");
        else if (response == Response::Success)
            connection.write(workerResponse(id, "fine"));
    }
};

} // namespace

// Guards against a count of open connections that grows with each request stopped by a quarantine.
TEST_CASE("HeldConnections.QuarantineBeforeSendReturnsTheConnection")
{
    HeldConnections fixture;
    const auto client = fixture.callUntilOpened(1);
    const routing::RequestIdentity identity{units::WorkspaceName("w1"),
                                            routing::digestOf("GET", "h.example", "/safe/a", "")};
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        fixture.gateway->state().crashes.onCrash(
            identity, {units::EndpointId(std::to_string(endpoint)), routing::Incarnation(1)},
            fixture.timers.now());
    CHECK(fixture.status(client) == 503);
    CHECK(fixture.inUse() == 0);
    CHECK(fixture.gateway->state().connections.idle() == 1);
}

// Guards against a count of open connections that grows with each retry the budget does not allow.
TEST_CASE("HeldConnections.SpentRetryBudgetBeforeSendReturnsTheConnection")
{
    HeldConnections fixture;
    fixture.response = HeldConnections::Response::Error;
    const auto client = fixture.callUntilOpened(2);
    fixture.gateway->state().retryLimit = {0, 0, std::chrono::seconds(10)};
    CHECK(fixture.status(client) == 500);
    CHECK(fixture.workers[0]->requests() + fixture.workers[1]->requests() == 1);
    CHECK(fixture.inUse() == 0);
    CHECK(fixture.gateway->state().connections.idle() == 2);
}

// Guards against a connection that is kept when its endpoint began to leave before the send.
TEST_CASE("HeldConnections.LeavingEndpointBeforeSendReturnsTheConnection")
{
    HeldConnections fixture;
    const auto client = fixture.callUntilOpened(1);
    for (const auto &endpoint :
         fixture.gateway->state().registry.available(units::PoolName("plain")))
        endpoint->leaving = true;
    CHECK(fixture.status(client) == 503);
    CHECK(fixture.inUse() == 0);
}

// Guards against a connection that is kept when the client left before the send.
TEST_CASE("HeldConnections.ClientThatLeftBeforeSendReturnsTheConnection")
{
    HeldConnections fixture;
    const auto client = fixture.callUntilOpened(1);
    client->close();
    fixture.runFor(milliseconds(200));
    CHECK(fixture.inUse() == 0);
}

// Guards against a connection that is kept, or returned twice, when a request ends after its send.
TEST_CASE("HeldConnections.RequestsThatWereSentReturnTheConnection")
{
    using Response = HeldConnections::Response;
    for (const Response response :
         {Response::Success, Response::Error, Response::Broken, Response::None}) {
        HeldConnections fixture;
        fixture.response = response;
        fixture.status(fixture.callUntilOpened(1));
        fixture.runFor(milliseconds(50));
        CHECK_MESSAGE(fixture.inUse() == 0, "response ", int(response));
    }
}
