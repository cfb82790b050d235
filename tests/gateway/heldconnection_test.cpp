#include <monsoongrade/gateway/heldconnection.h>
#include <monsoongrade/units/bootclock.h>

#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

using namespace monsoongrade;
using namespace monsoongrade::gateway;

namespace {

struct Listener : httpio::ChannelListener
{
    void onResponseHead(const httpio::MessageHead & /*head*/) override { }
    void onResponseBody(std::string_view /*bytes*/) override { }
    void onResponseEnd() override { }
    void onChannelFailure(httpio::ChannelFailure /*failure*/) override { }
};

// A pool of connections to an endpoint that accepts them and sends nothing.
struct Pool
{
    Pool()
        : acceptor(io, {asio::ip::make_address_v4("127.0.0.1"), 0})
        , connections(std::make_unique<EndpointConnections>(io, timers))
        , endpoint(std::make_shared<routing::EndpointStatus>())
    {
        endpoint->registration.id = units::EndpointId("e1");
        endpoint->registration.address
            = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    HeldConnection acquire()
    {
        HeldConnection held;
        bool isDone = false;
        connections->acquire(*endpoint, 4, false, [&](ConnectOutcome, auto channel) {
            held = HeldConnection(*connections, endpoint, std::move(channel));
            isDone = true;
        });
        while (!isDone)
            io.run_one();
        REQUIRE(held != nullptr);
        return held;
    }
    void send(HeldConnection &held)
    {
        held.send("GET / HTTP/1.1\r\n\r\n", std::make_shared<const std::string>(), listener);
    }
    int open() const { return connections->open(*endpoint); }

    asio::io_context io;
    units::BootClock clock;
    httpio::Timers timers{io, clock};
    asio::ip::tcp::acceptor acceptor;
    Listener listener;
    std::unique_ptr<EndpointConnections> connections;
    std::shared_ptr<routing::EndpointStatus> endpoint;
};

} // namespace

TEST_CASE("HeldConnection.UnusedConnectionIsKeptForReuse")
{
    Pool pool;
    {
        const HeldConnection held = pool.acquire();
        CHECK(pool.open() == 1);
        CHECK(pool.connections->idle() == 0);
    }
    CHECK(pool.open() == 1);
    CHECK(pool.connections->idle() == 1);
}

// Guards against reuse of a connection on which the response to an earlier request is due.
TEST_CASE("HeldConnection.ConnectionWithAnOpenRequestIsClosed")
{
    Pool pool;
    {
        HeldConnection held = pool.acquire();
        pool.send(held);
    }
    CHECK(pool.open() == 0);
}

TEST_CASE("HeldConnection.DiscardedConnectionIsClosedOnce")
{
    Pool pool;
    {
        HeldConnection held = pool.acquire();
        held.discard();
        CHECK(held == nullptr);
        CHECK(pool.open() == 0);
    }
    CHECK(pool.open() == 0);
}

TEST_CASE("HeldConnection.ReplacedConnectionIsReturned")
{
    Pool pool;
    HeldConnection held = pool.acquire();
    held = pool.acquire();
    CHECK(pool.open() == 2);
    CHECK(pool.connections->idle() == 1);
    const HeldConnection moved = std::move(held);
    CHECK(pool.open() == 2);
    CHECK(pool.connections->idle() == 1);
}

// Guards against use of a pool that was destroyed before a request that still held a connection.
TEST_CASE("HeldConnection.MayOutliveThePool")
{
    Pool pool;
    HeldConnection held = pool.acquire();
    pool.connections.reset();
    held.reset();
    CHECK(held == nullptr);
}
