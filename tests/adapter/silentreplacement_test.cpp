#include "silentreplacementfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

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
    CHECK(fixture.awaitNothingOpen());
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
    CHECK(fixture.awaitNothingOpen());
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
    CHECK(fixture.awaitNothingOpen());
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
    CHECK(fixture.awaitNothingOpen());
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
    CHECK(fixture.awaitNothingOpen());
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
    CHECK(fixture.awaitNothingOpen());
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
    CHECK(fixture.awaitNothingOpen());
}

// Guards against an endpoint that is given up for one that is silent as well.
TEST_CASE("SilentReplacement.StreamGoesOnAtItsEngineIfTheOtherIsSilentToo")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    fixture.runFor(milliseconds(1200));
    CHECK(!fixture.first.isAbandoned());
    fixture.first.endStream();
    CHECK(fixture.awaitEnd(*client));
    CHECK(isWholeStream(*client));
    CHECK(fixture.runUntil([&] { return other.isAbandoned(); }, milliseconds(100)));
    CHECK(fixture.awaitNothingOpen());
}

// Guards against a response that the client can't get, for which a sound endpoint is given up.
TEST_CASE("SilentReplacement.PlainRequestIsAnsweredByItsEndpointIfTheOtherResponseIsUnsigned")
{
    SilentReplacementFixture fixture("plain");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.sendToFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    other.write("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nContent-Length: 5\r\n\r\nother");
    fixture.runFor(milliseconds(100));
    fixture.first.respond("first");
    CHECK(fixture.awaitEnd(*client));
    CHECK(client->status() == 200);
    CHECK(client->body() == "first");
}

// Guards against endpoints that go on for a client that has left.
TEST_CASE("SilentReplacement.BothEndpointsAreLeftWithTheClient")
{
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    client->close();
    CHECK(fixture.runUntil([&] { return fixture.first.isAbandoned() && other.isAbandoned(); },
                           milliseconds(100)));
    CHECK(fixture.gateway->state().openExchanges.empty());
    CHECK(fixture.awaitNothingOpen());
}

// Guards against a request that waits for an endpoint which is about to reject it, as its own one
// has broken off.
TEST_CASE("SilentReplacement.RejectionIsNotWaitedForOnceTheFirstEndpointBreaksOff")
{
    SilentReplacementFixture fixture("plain");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.sendToFirst();
    fixture.addEndpoint(other.address());
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    other.write("HTTP/1.1 503 Unavailable\r\nAttempt-Id: id1\r\nNot-Executed: 1\r\n"
                "Content-Length: 5\r\n\r\n");
    fixture.runFor(milliseconds(50));
    fixture.first.reset();
    CHECK(fixture.runUntil([&] { return client->isComplete(); }, milliseconds(300)));
    CHECK(client->status() == 502);
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
