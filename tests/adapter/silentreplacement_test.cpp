#include "faultfixture.h"

#include <doctest/doctest.h>

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using standins::RawConnection;
using standins::RawPeer;
using std::chrono::milliseconds;

namespace {

constexpr int Events = 6;
constexpr int EventsBeforeSilence = 3;

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

std::string eventsFrom(int first, int last = Events)
{
    std::string chunks;
    for (int number = first; number <= last; ++number)
        chunks += httpio::encodeChunk(event(number));
    return chunks;
}

const std::string EndOfChunks = "0\r\n\r\n";

// An endpoint that takes requests, and sends what the test tells it to.
class ScriptedEndpoint
{
public:
    explicit ScriptedEndpoint(asio::io_context &io)
        : peer_(io, [this](RawConnection &connection, const std::string &text, int) {
            connection_ = &connection;
            request_ = text;
        })
    {
    }

    std::string address() const { return peer_.address(); }
    int requests() const { return peer_.requests(); }
    int connections() const { return peer_.connections(); }
    std::string lastEventId() const { return headerIn(request_, "Last-Event-Id"); }
    // Whether the gateway has closed the connection on which the last request came.
    bool isAbandoned() const { return connection_ != nullptr && connection_->isClosedByPeer(); }

    void write(const std::string &bytes) { connection_->write(bytes); }
    void reset() { connection_->reset(); }
    // Begins a stream, and sends the events up to the silence.
    void beginStream() { write(streamHead(idIn(request_)) + eventsFrom(1, EventsBeforeSilence)); }
    // Sends the rest of the stream after the silence.
    void endStream() { write(eventsFrom(EventsBeforeSilence + 1) + EndOfChunks); }
    void sendHead() { write(streamHead(idIn(request_))); }
    void respond(const std::string &body) { write(workerResponse(idIn(request_), body)); }
    void reject()
    {
        write("HTTP/1.1 503 Unavailable\r\nAttempt-Id: " + idIn(request_)
              + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }

private:
    RawPeer peer_;
    RawConnection *connection_ = nullptr;
    std::string request_;
};

// A listening socket whose queue is full: connecting to it takes until accept() is called.
class FullListener
{
public:
    explicit FullListener(asio::io_context &io)
        : acceptor_(io)
    {
        const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        acceptor_.open(any.protocol());
        acceptor_.bind(any);
        acceptor_.listen(0);
        for (int i = 0; i < 2; ++i) {
            fillers_.emplace_back(io);
            fillers_.back().async_connect(acceptor_.local_endpoint(),
                                          [](const asio::error_code &) {});
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    // Accepts for a time, and returns how many of the connections carried a request.
    int requestsWithin(EventLoop &loop, milliseconds time)
    {
        accept();
        loop.runFor(time);
        return int(std::count_if(accepted_.begin(), accepted_.end(), [](auto &socket) {
            asio::error_code ignored;
            return socket.available(ignored) > 0;
        }));
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            accepted_.push_back(std::move(socket));
            accept();
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> fillers_;
    std::vector<asio::ip::tcp::socket> accepted_;
};

// A gateway before one endpoint that falls silent; the tests add another one meanwhile, so that it
// is known which of them gets the request first.
class SilentReplacementFixture : public FaultFixture
{
public:
    explicit SilentReplacementFixture(const std::string &service)
        : first(io)
        , service_(service)
    {
        announce("p1", service, first.address());
        serve(1);
    }

    void addEndpoint(const std::string &address)
    {
        announce("p2", service_, address);
        REQUIRE(awaitServing(2));
    }
    // Sends a request that may run twice, and waits until the first endpoint has it.
    std::shared_ptr<RawClient> sendToFirst()
    {
        const bool isStream = service_ == "model";
        auto client = connect();
        client->send(isStream ? request("POST", "/resume/a", "id1", "", StreamHeaders)
                              : request("GET", "/safe/a", "id1"));
        REQUIRE(runUntil([&] { return first.requests() == 1; }));
        return client;
    }
    // Likewise, and waits until the client has the events before the silence.
    std::shared_ptr<RawClient> beginStreamAtFirst()
    {
        auto client = sendToFirst();
        first.beginStream();
        REQUIRE(runUntil([&] { return hasEvent(*client, EventsBeforeSilence); }));
        return client;
    }
    static bool hasEvent(const RawClient &client, int number)
    {
        return client.received().find(event(number)) != std::string::npos;
    }
    bool awaitEnd(const RawClient &client)
    {
        return runUntil([&] { return client.isComplete() || client.isClosed(); });
    }
    bool hasRetryLeft()
    {
        gateway::GatewayState &state = gateway->state();
        return state.retryAllowances["model"].hasLeft(state.retryLimit, state.liveHosts,
                                                      timers.now());
    }

    ScriptedEndpoint first;

private:
    std::string service_;
};

// Whether the client has got each event once, in order, and the end of the stream.
bool isWholeStream(const RawClient &client)
{
    std::string events;
    std::string left = client.body();
    for (;;) {
        const std::size_t lineEnd = left.find("\r\n");
        if (lineEnd == std::string::npos)
            return false;
        const std::size_t size = std::stoul(left.substr(0, lineEnd), nullptr, 16);
        if (size == 0)
            break;
        events += left.substr(lineEnd + 2, size);
        left.erase(0, lineEnd + 2 + size + 2);
    }
    std::string expected;
    for (int number = 1; number <= Events; ++number)
        expected += event(number);
    return events == expected;
}

// Nothing listens there.
const std::string UnreachableAddress = "127.0.0.1:1";

} // namespace

// Guards against a stream that is broken off because its engine is silent and another rejects it.
TEST_CASE("SilentReplacement.StreamGoesOnAtItsEngineIfAnotherRejectsIt")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    other.reject();
    fixture.runFor(milliseconds(300));
    CHECK(!fixture.first.isAbandoned());
    fixture.first.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
    CHECK(other.requests() == 1);
}

// Guards against a stream that is broken off because its engine is silent and no connection to
// another one can be made.
TEST_CASE("SilentReplacement.StreamGoesOnAtItsEngineIfNoOtherCanBeReached")
{
    SilentReplacementFixture fixture("model");
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(UnreachableAddress);
    fixture.runFor(milliseconds(1000));
    CHECK(!fixture.first.isAbandoned());
    fixture.first.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
}

// Guards against a stream that is broken off because the other engine fails under it.
TEST_CASE("SilentReplacement.StreamGoesOnAtItsEngineIfAnotherBreaksOff")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    other.reset();
    fixture.runFor(milliseconds(100));
    CHECK(!fixture.first.isAbandoned());
    fixture.first.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
}

// Guards against a 502 for a plain request whose endpoint is silent for a moment, because another
// one rejects it.
TEST_CASE("SilentReplacement.PlainRequestIsAnsweredByItsEndpointIfAnotherRejectsIt")
{
    SilentReplacementFixture fixture("plain");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.sendToFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    other.reject();
    fixture.runFor(milliseconds(100));
    fixture.first.respond("first");
    CHECK(fixture.awaitEnd(*client));
    CHECK(client->status() == 200);
    CHECK(client->body() == "first");
}

// Guards against a 502 for a plain request whose endpoint is silent for a moment, because no
// connection to another one can be made.
TEST_CASE("SilentReplacement.PlainRequestIsAnsweredByItsEndpointIfNoOtherCanBeReached")
{
    SilentReplacementFixture fixture("plain");
    const auto client = fixture.sendToFirst();
    fixture.addEndpoint(UnreachableAddress);
    fixture.runFor(milliseconds(800));
    fixture.first.respond("first");
    CHECK(fixture.awaitEnd(*client));
    CHECK(client->status() == 200);
    CHECK(client->body() == "first");
}

// Guards against a stream that stays at a silent engine, or that two engines work on.
TEST_CASE("SilentReplacement.StreamMovesOnceAnotherEngineBeginsToRespond")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    CHECK(other.lastEventId() == std::to_string(EventsBeforeSilence));
    CHECK(!fixture.first.isAbandoned());
    other.sendHead();
    CHECK(fixture.runUntil([&] { return fixture.first.isAbandoned(); }, milliseconds(100)));
    other.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
    CHECK(!other.isAbandoned());
}

// Guards against two answers to one plain request, or an endpoint that goes on in vain.
TEST_CASE("SilentReplacement.PlainRequestIsAnsweredByTheOtherEndpoint")
{
    SilentReplacementFixture fixture("plain");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.sendToFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    other.respond("other");
    CHECK(fixture.awaitEnd(*client));
    CHECK(client->status() == 200);
    CHECK(client->body() == "other");
    CHECK(fixture.runUntil([&] { return fixture.first.isAbandoned(); }, milliseconds(100)));
}

// Guards against events that come twice, or a second run in vain, as an engine goes on while
// another one has the stream.
TEST_CASE("SilentReplacement.StreamThatGoesOnIsTakenFromTheOtherEngine")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    fixture.first.write(eventsFrom(EventsBeforeSilence + 1, EventsBeforeSilence + 1));
    CHECK(fixture.runUntil([&] { return other.isAbandoned(); }, milliseconds(100)));
    fixture.first.write(eventsFrom(EventsBeforeSilence + 2) + EndOfChunks);
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
}

// Guards against a stream that is sent to a second engine after its own one has gone on.
TEST_CASE("SilentReplacement.StreamThatGoesOnIsNotSentWhenTheConnectionIsMade")
{
    SilentReplacementFixture fixture("model");
    FullListener other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    fixture.gateway->state().retryLimit = {0, 10, std::chrono::seconds(10)};
    const std::size_t opened = fixture.gateway->state().connections.opened();
    REQUIRE(
        fixture.runUntil([&] { return fixture.gateway->state().connections.opened() > opened; }));
    fixture.first.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
    CHECK(other.requestsWithin(fixture, milliseconds(1500)) == 0);
}

// Guards against retries that count against the shared limit though nothing was sent.
TEST_CASE("SilentReplacement.EndpointThatCannotBeReachedCostsNoRetry")
{
    SilentReplacementFixture fixture("model");
    fixture.gateway->state().retryLimit = {0, 1.2, std::chrono::seconds(10)};
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(UnreachableAddress);
    fixture.runFor(milliseconds(1000));
    CHECK(fixture.hasRetryLeft());
    fixture.first.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
}

// Guards against a stream that is broken off though another engine has got it already.
TEST_CASE("SilentReplacement.StreamMovesIfItsSilentEngineBreaksOff")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    fixture.first.reset();
    fixture.runFor(milliseconds(100));
    other.sendHead();
    other.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
    CHECK(other.requests() == 1);
}

// Guards against an answer that comes before the deadline though the endpoint may still respond.
TEST_CASE("SilentReplacement.EndpointThatStaysSilentIsWaitedForUntilTheDeadline")
{
    SilentReplacementFixture fixture("plain");
    const auto begun = fixture.timers.now();
    const auto client = fixture.sendToFirst();
    CHECK(fixture.awaitEnd(*client));
    CHECK(client->status() == 504);
    CHECK(fixture.timers.now() - begun >= milliseconds(2500));
}
