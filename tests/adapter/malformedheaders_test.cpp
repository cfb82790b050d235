#include "faultfixture.h"
#include "silentreplacementfixture.h"

#include <malformedheaderlines.h>

#include <platform/storeclient.h>

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::RawConnection;
using standins::RawPeer;

namespace {

const std::string Body = "id: 1\ndata: event 1\n\n";

struct Route
{
    std::string method;
    std::string path;
    std::string service;
};

const std::vector<Route> Routes{{"GET", "/safe/a", "plain"},
                                {"POST", "/unsafe/a", "plain"},
                                {"POST", "/stream/a", "model"},
                                {"POST", "/resume/a", "model"}};

std::string withFirstLine(std::string head, const std::string &line)
{
    return head.insert(head.find("\r\n") + 2, line + "\r\n");
}

// A success that ends with its connection.
std::string responseWith(const std::string &id, const std::string &firstLine,
                         const std::string &lastLine)
{
    return "HTTP/1.1 200 OK\r\n" + firstLine + "Attempt-Id: " + id + "\r\nResponse-Signature: s."
        + id + "\r\nConnection: close\r\n" + lastLine + "\r\n" + Body;
}

std::string chunkedResponse(const std::string &id, const std::string &trailer)
{
    return streamHead(id) + httpio::encodeChunk(Body) + "0\r\n" + trailer + "\r\n";
}

// A gateway before one worker that sends what the test returns for the id of a request.
class ResponderFixture : public FaultFixture
{
public:
    using Respond = std::function<std::string(const std::string &id)>;

    ResponderFixture(const std::string &service, Respond respond)
        : respond_(std::move(respond))
        , peer(io, [this](RawConnection &connection, const std::string &text, int) {
            connection.write(respond_(idIn(text)));
            connection.closeGracefully();
        })
    {
        settings.forwardingPort = 8006;
        announce("w1", service, peer.address());
        serve(1);
    }

private:
    Respond respond_;

public:
    RawPeer peer;
};

void checkRefused(const Route &route, const ResponderFixture::Respond &respond)
{
    CAPTURE(route.path);
    ResponderFixture fixture(route.service, respond);
    const auto client = fixture.call(request(route.method, route.path, "id1", "", StreamHeaders));
    CHECK(client->status() == 502);
    CHECK(client->isComplete());
    CHECK(client->received().find("event 1") == std::string::npos);
    const bool mayRunAgain = route.path == "/safe/a" || route.path == "/resume/a";
    CHECK(fixture.peer.requests() >= 1);
    CHECK(fixture.peer.requests() <= (mayRunAgain ? 2 : 1));
}

} // namespace

// Guards against a malformed line that reaches the client, or changes where the body ends.
TEST_CASE("MalformedHeaders.LineThatIsNoHeaderIsNotForwarded")
{
    for (const Route &route : Routes) {
        for (const std::string &line : tests::malformedFirstLines()) {
            CAPTURE(line);
            checkRefused(
                route, [&](const std::string &id) { return responseWith(id, line + "\r\n", ""); });
        }
        for (const std::string &line : tests::malformedHeaderLines()) {
            CAPTURE(line);
            checkRefused(
                route, [&](const std::string &id) { return responseWith(id, "", line + "\r\n"); });
        }
    }
}

// Guards against a malformed interim response whose final response is taken for whole.
TEST_CASE("MalformedHeaders.MalformedInterimResponseIsNotSkipped")
{
    for (const Route &route : Routes) {
        for (const std::string &line : tests::malformedFirstLines()) {
            CAPTURE(line);
            checkRefused(route, [&](const std::string &id) {
                return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n"
                    + responseWith(id, "", "");
            });
        }
    }
}

// Guards against bytes after the last chunk that are no trailer but end the response as whole.
TEST_CASE("MalformedHeaders.MalformedTrailerDoesNotCompleteAResponse")
{
    for (const Route &route : Routes) {
        CAPTURE(route.path);
        for (const std::string &line : tests::malformedFirstLines()) {
            CAPTURE(line);
            ResponderFixture fixture(route.service, [&](const std::string &id) {
                return chunkedResponse(id, line + "\r\n");
            });
            const auto client
                = fixture.call(request(route.method, route.path, "id1", "", StreamHeaders));
            CHECK(fixture.peer.requests() >= 1);
            CHECK_FALSE((client->status() == 200 && client->isComplete()));
        }
    }
}

// Guards against a failure of the worker that is passed on with a malformed line.
TEST_CASE("MalformedHeaders.FailureOfTheWorkerIsNotForwarded")
{
    for (const Route &route : Routes) {
        checkRefused(route, [&](const std::string &id) {
            return "HTTP/1.1 404 Not Found\r\nX B: v\r\nAttempt-Id: " + id
                + "\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n";
        });
    }
}

// Guards against a response that one host refuses and the one that passed the request on delivers.
TEST_CASE("MalformedHeaders.ResponseIsNotForwardedOverAnotherHost")
{
    ResponderFixture fixture(
        "plain", [](const std::string &id) { return responseWith(id, "X B: v\r\n", ""); });
    auto host
        = RawClient::connect(fixture.io, *httpio::parseAddress(fixture.settings.ip + ":8006"));
    host->send(request("POST", "/unsafe/a", "id1", ""));
    fixture.runUntil([&] { return host->isComplete() || host->isClosed(); });
    CHECK(fixture.peer.requests() == 1);
    CHECK(host->status() == 502);
    CHECK(host->received().find("event 1") == std::string::npos);
}

// Guards against a stream that goes on with a response which is none.
TEST_CASE("MalformedHeaders.StreamIsNotContinuedByAMalformedResponse")
{
    const std::string malformed = withFirstLine(streamHead("id1"), "X B: v")
        + eventsFrom(EventsBeforeSilence + 1) + EndOfChunks;
    SilentReplacementFixture fixture("model");
    ScriptedEndpoint other(fixture.io);
    const auto client = fixture.beginStreamAtFirst();
    fixture.addEndpoint(other.address());
    SUBCASE("of the endpoint that replaces a silent one")
    {
        REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
        other.write(malformed);
        fixture.runFor(std::chrono::milliseconds(100));
        CHECK(!fixture.first.isAbandoned());
        fixture.first.endStream();
        CHECK(fixture.awaitEnd(*client));
        CHECK(isWholeStream(*client));
    }
    SUBCASE("of the endpoint at which a broken stream is resumed")
    {
        fixture.first.reset();
        REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
        other.write(malformed);
        CHECK(fixture.awaitEnd(*client));
        CHECK(client->isClosed());
        CHECK_FALSE(client->isComplete());
        CHECK_FALSE(SilentReplacementFixture::hasEvent(*client, EventsBeforeSilence + 1));
    }
}

// Guards against a malformed response of the store that is taken for its state.
TEST_CASE("MalformedHeaders.ResponseOfTheStoreIsNotUsed")
{
    std::string line;
    EventLoop loop;
    RawPeer store(loop.io, [&](RawConnection &connection, const std::string &, int) {
        connection.write("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}");
    });
    observability::Metrics metrics;
    StoreClient client(loop.io, loop.timers, metrics);
    const auto outcomeWith = [&](const std::string &lineOfResponse) {
        line = lineOfResponse;
        std::optional<StoreOutcome> outcome;
        client.get(*httpio::parseAddress(store.address()), "/", std::chrono::seconds(1),
                   [&](const StoreResponse &response) { outcome = response.outcome; });
        REQUIRE(loop.runUntil([&] { return outcome.has_value(); }));
        return *outcome;
    };
    CHECK(outcomeWith("X-Y: v") == StoreOutcome::Ok);
    CHECK(outcomeWith("X Y: v") == StoreOutcome::NoResponse);
}

// Guards against one malformed response that takes a worker's other requests away.
TEST_CASE("MalformedHeaders.WorkerGetsRequestsAfterOneMalformedResponse")
{
    bool isMalformed = true;
    ResponderFixture fixture("plain", [&](const std::string &id) {
        return isMalformed ? responseWith(id, "X B: v\r\n", "") : workerResponse(id, "whole");
    });
    CHECK(fixture.call(request("POST", "/unsafe/a", "id1"))->status() == 502);
    isMalformed = false;
    for (const std::string id : {"id2", "id3", "id4"})
        CHECK(fixture.call(request("POST", "/unsafe/a", id))->body() == "whole");
}

// Guards against refusing responses with unusual but well-formed headers.
TEST_CASE("MalformedHeaders.WellFormedHeadersAreForwarded")
{
    struct Line
    {
        std::string sent;
        std::string forwarded;
    };
    const std::string name = "x!#$%&'*+-.^_`|~09azAZ";
    const std::vector<Line> lines{{name + ": v", name + ": v"},
                                  {"X-Empty:", "X-Empty: "},
                                  {"X-Blanks:\t a b\tc : d \t", "X-Blanks: a b\tc : d"},
                                  {"X-High: \xc3\xa4\xff", "X-High: \xc3\xa4\xff"},
                                  {"X-Colon::", "X-Colon: :"},
                                  {"X-Folded: a\r\n \t b: c", "X-Folded: a \t b: c"}};
    for (const Line &line : lines) {
        CAPTURE(line.sent);
        for (const Route &route : Routes) {
            CAPTURE(route.path);
            ResponderFixture fixture(route.service, [&](const std::string &id) {
                return "HTTP/1.1 103 Early Hints\r\n" + line.sent + "\r\n\r\n"
                    + withFirstLine(chunkedResponse(id, line.sent + "\r\n"), line.sent);
            });
            const auto client
                = fixture.call(request(route.method, route.path, "id1", "", StreamHeaders));
            CHECK(client->status() == 200);
            CHECK(client->isComplete());
            CHECK(client->received().find("\r\n" + line.forwarded + "\r\n") != std::string::npos);
            CHECK(client->received().find("event 1") != std::string::npos);
        }
    }
}
