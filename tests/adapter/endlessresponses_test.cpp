#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <functional>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using standins::RawConnection;
using standins::RawPeer;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t PartBytes = 32 * 1024;
constexpr auto Interval = milliseconds(2);
// What the gateway reads of one response before it closes the connection, and what the sockets
// hold. In the time that the request has, a worker writes 40 MB.
constexpr std::size_t MaxWritten = 8 * 1024 * 1024;

// A worker that writes the start of a response, and then the same bytes until the gateway closes
// the connection.
class EndlessWorker
{
public:
    using StartFor = std::function<std::string(const std::string &id)>;

    EndlessWorker(GatewayFixture &fixture, StartFor start, const std::string &repeated)
        : fixture_(fixture)
        , peer_(fixture.io,
                [this, start = std::move(start)](RawConnection &connection, const std::string &text,
                                                 int) {
                    connection.write(start(headerIn(text, "Attempt-Id")));
                    writeOn(connection.shared_from_this());
                })
    {
        while (part_.size() < PartBytes)
            part_ += repeated;
    }
    std::string address() const { return peer_.address(); }
    bool wasAsked() const { return peer_.requests() > 0; }
    std::size_t written() const { return written_; }

private:
    void writeOn(const std::shared_ptr<RawConnection> &connection)
    {
        if (connection->isClosedByPeer() || written_ > MaxWritten)
            return;
        written_ += connection->writeSome(part_);
        fixture_.timers.after(Interval, [this, connection] { writeOn(connection); });
    }

    GatewayFixture &fixture_;
    std::string part_;
    std::size_t written_ = 0;
    RawPeer peer_;
};

std::string idLine(const std::string &id)
{
    return "Attempt-Id: " + id + "\r\n";
}

// Sends requests to a worker without an end and a sound one, until the first was asked. Checks that
// each is served and that the gateway stops reading.
void checkServedByAnother(const EndlessWorker::StartFor &start, const std::string &repeated)
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    EndlessWorker endless(fixture, start, repeated);
    standins::StandInWorker sound(fixture.io, fixture.timers, fixture.store, {"p2", "plain", "z1"});
    fixture.announce("p1", "plain", endless.address());
    sound.announce("ready");
    fixture.start();
    REQUIRE(fixture.awaitServing(2));
    for (int i = 0; i < 10 && !endless.wasAsked(); ++i)
        CHECK(fixture.call(request("GET", "/safe/a", "id" + std::to_string(i)))->status() == 200);
    REQUIRE(endless.wasAsked());
    CHECK(endless.written() <= MaxWritten);
    CHECK(fixture.gateway->state().crashes.quarantinedCount(fixture.timers.now()) == 0);
}

} // namespace

// Guards against a head without an end.
TEST_CASE("EndlessResponses.HeadIsBounded")
{
    checkServedByAnother(
        [](const std::string &id) { return "HTTP/1.1 200 OK\r\n" + idLine(id) + "X: "; },
        "aaaaaaaa");
}

// Guards against interim responses without an end.
TEST_CASE("EndlessResponses.InterimResponsesAreBounded")
{
    checkServedByAnother([](const std::string &) { return std::string(); },
                         "HTTP/1.1 100 Continue\r\n\r\n");
}

// Guards against a body without an end of an error, which is collected until it is complete.
TEST_CASE("EndlessResponses.BodyOfAnErrorIsBounded")
{
    checkServedByAnother(
        [](const std::string &id) {
            return "HTTP/1.1 500 Error\r\n" + idLine(id) + "Response-Signature: s." + id
                + "\r\nConnection: close\r\n\r\n";
        },
        "aaaaaaaa");
}

// Guards against a body without an end of a success that the worker did not sign.
TEST_CASE("EndlessResponses.UnsignedBodyIsBounded")
{
    checkServedByAnother(
        [](const std::string &id) {
            return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Connection: close\r\n\r\n";
        },
        "aaaaaaaa");
}

// Guards against a body without an end of a response to another request, which is skipped.
TEST_CASE("EndlessResponses.BodyForAnotherRequestIsBounded")
{
    checkServedByAnother(
        [](const std::string &) {
            return "HTTP/1.1 200 OK\r\n" + idLine("other")
                + "Response-Signature: s.other\r\nConnection: close\r\n\r\n";
        },
        "aaaaaaaa");
}

// Guards against an event without an end, of which the client would get parts.
TEST_CASE("EndlessResponses.EventIsBoundedAndTheStreamGoesOnElsewhere")
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    EndlessWorker endless(
        fixture,
        [](const std::string &id) {
            return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Response-Signature: s." + id
                + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                  "id: 1\ndata: event 1\n\nid: 2\ndata: ";
        },
        "aaaaaaaa");
    fixture.announce("e1", "model", endless.address());
    fixture.start();
    REQUIRE(fixture.awaitServing(1));
    const auto client = fixture.connect();
    client->send(request("POST", "/resume/a", "id1", "", StreamHeaders));
    REQUIRE(fixture.runUntil([&] { return endless.wasAsked(); }));
    RawPeer sound(fixture.io, [](RawConnection &connection, const std::string &text, int) {
        const std::string rest = headerIn(text, "Last-Event-Id") == "1"
            ? httpio::encodeChunk("id: 2\ndata: event 2\n\n")
            : std::string();
        connection.write(streamHead(headerIn(text, "Attempt-Id")) + rest + "0\r\n\r\n");
    });
    fixture.announce("e2", "model", sound.address());
    fixture.runUntil([&] { return client->isComplete() || client->isClosed(); });
    CHECK(client->status() == 200);
    CHECK(client->isComplete());
    CHECK(client->received().find("event 2") != std::string::npos);
    CHECK(client->received().find("aaaa") == std::string::npos);
    CHECK(endless.written() <= MaxWritten);
}
