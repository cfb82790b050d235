#include <monsoongrade/httpio/server.h>

#include "adapter/eventloop.h"
#include "adapter/rawclient.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::httpio;
using platform::EventLoop;
using platform::RawClient;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxConnections = 2;
const std::string Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// A server that never refuses a connection and responds at once.
struct WaitingServer : EventLoop
{
    WaitingServer()
    {
        limits.maxConnections = MaxConnections;
        limits.maxRefusedConnections = 0;
    }
    std::shared_ptr<RawClient> call()
    {
        auto client = RawClient::connect(io, server.address());
        client->send(Request);
        return client;
    }

    // Returns as many clients as the server accepts, whose connections are idle.
    std::vector<std::shared_ptr<RawClient>> fill()
    {
        std::vector<std::shared_ptr<RawClient>> clients;
        clients.reserve(MaxConnections);
        for (std::size_t i = 0; i < MaxConnections; ++i) {
            clients.push_back(call());
            REQUIRE(runUntil([&] { return clients.back()->isComplete(); }));
        }
        return clients;
    }

    ServerLimits limits;
    Server server{io,
                  timers,
                  {asio::ip::address_v4::loopback(), 0},
                  limits,
                  [](const ServerRequest &, const std::shared_ptr<ResponseWriter> &reply) {
                      reply->respond(200, {}, "ok");
                  }};
};

} // namespace

// Guards against a server that accepts nothing more while its connections are idle.
TEST_CASE("Server.ConnectionWaitsUntilAnIdleOneMakesRoom")
{
    WaitingServer fixture;
    const std::vector<std::shared_ptr<RawClient>> first = fixture.fill();
    const auto waiting = fixture.call();
    fixture.runFor(milliseconds(300));
    CHECK(waiting->received().empty());
    CHECK(fixture.server.connections() == MaxConnections);
    CHECK(fixture.runUntil([&] { return waiting->isComplete(); }, milliseconds(1500)));
    CHECK(first.front()->isClosed());
    CHECK_FALSE(first.back()->isClosed());
    CHECK(fixture.server.evictedConnections() == 1);
    CHECK(fixture.server.refusedConnections() == 0);
    CHECK_FALSE(fixture.server.isFull());
}

// Guards against a connection that waits for good, or is served by a server that has stopped.
TEST_CASE("Server.WaitingConnectionIsClosedWhenTheServerStopsAccepting")
{
    WaitingServer fixture;
    const std::vector<std::shared_ptr<RawClient>> first = fixture.fill();
    const auto waiting = fixture.call();
    fixture.runFor(milliseconds(100));
    fixture.server.stopAccepting();
    CHECK(fixture.runUntil([&] { return waiting->isClosed(); }, milliseconds(500)));
    CHECK(waiting->received().empty());
}
