#include "faultfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using standins::RawConnection;
using standins::RawPeer;

namespace {

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

std::string chunk(const std::string &text)
{
    return httpio::encodeChunk(text);
}

} // namespace

TEST_CASE("WorkerFaults.RequestThatMayHaveRunIsNotRetried")
{
    // The worker reads a request that must run at most once and closes the connection. As it may
    // have run it, the client gets 502, and no worker gets the request a second time.
    FaultFixture fixture;
    const auto closes = [](RawConnection &connection, const std::string &, int) {
        connection.reset();
    };
    RawPeer first(fixture.io, closes);
    RawPeer second(fixture.io, closes);
    fixture.announce("p1", "plain", first.address());
    fixture.announce("p2", "plain", second.address());
    fixture.serve(2);
    const auto client = fixture.call(request("POST", "/twice/a", "id1", "b"));
    CHECK(client->status() == 502);
    CHECK(first.requests() + second.requests() == 1);
}

TEST_CASE("WorkerFaults.RequestOnABrokenReusedConnectionIsNotRetried")
{
    // The second request is sent on a reused connection; the worker reads it and closes before any
    // byte of a response. An HTTP client that retries such requests by itself would run it twice.
    FaultFixture fixture;
    RawPeer peer(fixture.io, [](RawConnection &connection, const std::string &text, int number) {
        if (number == 1)
            connection.write(workerResponse(idIn(text), "one"));
        else
            connection.reset();
    });
    fixture.announce("p1", "plain", peer.address());
    fixture.serve(1);
    CHECK(fixture.call(request("POST", "/unsafe/a", "id1", "b"))->status() == 200);
    CHECK(fixture.call(request("POST", "/unsafe/a", "id2", "b"))->status() == 502);
    CHECK(peer.connections() == 1);
    CHECK(peer.requests() == 2);
}

TEST_CASE("WorkerFaults.IdempotentRequestIsServedByAnotherWorker")
{
    FaultFixture fixture;
    int broken = 0;
    RawPeer bad(fixture.io, [&](RawConnection &connection, const std::string &, int) {
        ++broken;
        connection.reset();
    });
    standins::StandInWorker good(fixture.io, fixture.timers, fixture.store, {"p2", "plain", "z2"});
    fixture.announce("p1", "plain", bad.address());
    good.announce("ready");
    fixture.serve(2);
    const auto client = fixture.call(request("GET", "/safe/a", "id1"));
    CHECK(broken == 1);
    CHECK(client->status() == 200);
    CHECK(client->body() == "answer of p2");
}

TEST_CASE("WorkerFaults.RejectedRequestIsRefusedAsNotRunWithARetryAfter")
{
    FaultFixture fixture;
    standins::StandInWorker full(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    full.setFull(true);
    full.announce("ready");
    fixture.serve(1);
    const auto client = fixture.call(request("POST", "/unsafe/a", "id1", "b"));
    CHECK(client->status() == 503);
    CHECK(full.rejected() == 1);
    CHECK(full.runs().empty());
    const double retryAfter = std::atof(headerIn(client->received(), "Retry-After").c_str());
    CHECK(retryAfter > 0);
    CHECK(retryAfter < 2.5 / 3 + 0.01);
}

// Guards against learning that an endpoint is fast, and that it has read the prompt, from a
// rejection.
TEST_CASE("WorkerFaults.RejectionIsNotTakenForAFirstByte")
{
    FaultFixture fixture;
    RawPeer full(fixture.io, [](RawConnection &connection, const std::string &text, int) {
        connection.write("HTTP/1.1 503 Unavailable\r\nAttempt-Id: " + idIn(text)
                         + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    fixture.announce("e", "model", full.address());
    fixture.serve(1);
    CHECK(fixture.call(request("POST", "/stream/a", "id1", "", StreamHeaders))->status() == 503);
    CHECK(full.requests() == 1);
    CHECK(fixture.gateway->state().log.metrics.exposition().find(
              "monsoongrade_gateway_first_byte_seconds")
          == std::string::npos);
}

TEST_CASE("WorkerFaults.LateSecondResponseIsNotTakenForTheNextOne")
{
    // A worker sends a second response to the first request while the second request is on the
    // connection. The second client must get its own response, which follows.
    FaultFixture fixture;
    RawPeer peer(fixture.io, [](RawConnection &connection, const std::string &text, int number) {
        if (number == 2)
            connection.write(workerResponse("id1", "one again"));
        connection.write(workerResponse(idIn(text), number == 1 ? "one" : "two"));
    });
    fixture.announce("p1", "plain", peer.address());
    fixture.serve(1);
    CHECK(fixture.call(request("POST", "/unsafe/a", "id1", "b"))->body() == "one");
    const auto second = fixture.call(request("POST", "/unsafe/a", "id2", "b"));
    CHECK(second->status() == 200);
    CHECK(second->body() == "two");
    CHECK(headerIn(second->received(), "Attempt-Id") == "id2");
}

TEST_CASE("WorkerFaults.IdleConnectionThatReceivesBytesIsNotReused")
{
    FaultFixture fixture;
    RawPeer peer(fixture.io, [](RawConnection &connection, const std::string &text, int number) {
        connection.write(workerResponse(idIn(text), "own"));
        if (number == 1)
            connection.write(workerResponse("id1", "extra"));
    });
    fixture.announce("p1", "plain", peer.address());
    fixture.serve(1);
    fixture.call(request("POST", "/unsafe/a", "id1", "b"));
    fixture.runFor(std::chrono::milliseconds(30));
    CHECK(fixture.call(request("POST", "/unsafe/a", "id2", "b"))->body() == "own");
    CHECK(peer.connections() == 2);
}

TEST_CASE("WorkerFaults.ResponseWithoutLengthIsCompleteOnlyAfterAnOrderlyClose")
{
    FaultFixture fixture;
    const std::string head = "\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n";
    RawPeer peer(fixture.io, [&](RawConnection &connection, const std::string &text, int number) {
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + idIn(text) + head + "half of it");
        if (number == 1)
            connection.closeGracefully();
        else
            connection.reset();
    });
    fixture.announce("p1", "plain", peer.address());
    fixture.serve(1);
    const auto inOrder = fixture.call(request("POST", "/unsafe/a", "id1", "b"));
    CHECK(inOrder->status() == 200);
    CHECK(inOrder->body() == "half of it");
    CHECK(fixture.call(request("POST", "/unsafe/a", "id2", "b"))->status() == 502);
}

// Guards against a stream without length or chunks that looks whole though it ended inside an
// event.
TEST_CASE("WorkerFaults.StreamThatEndsWithItsConnectionIsWholeBetweenEventsOnly")
{
    FaultFixture fixture;
    std::string events;
    bool isReset = false;
    RawPeer peer(fixture.io, [&](RawConnection &connection, const std::string &text, int) {
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + idIn(text)
                         + "\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n" + events);
        if (isReset)
            fixture.timers.after(std::chrono::milliseconds(20),
                                 [open = connection.shared_from_this()] { open->reset(); });
        else
            connection.closeGracefully();
    });
    fixture.announce("m1", "model", peer.address());
    fixture.serve(1);
    const auto callStream = [&](const std::string &id) {
        return fixture.call(request("POST", "/stream/a", id, id, StreamHeaders));
    };
    events = event(1) + event(2);
    const auto whole = callStream("id1");
    CHECK(whole->isComplete());
    CHECK(whole->received().find("event 2") != std::string::npos);
    events = event(1) + "id: 2\ndata: ev";
    const auto inEvent = callStream("id2");
    CHECK_FALSE(inEvent->isComplete());
    CHECK(inEvent->isClosed());
    events = event(1) + event(2);
    isReset = true;
    const auto broken = callStream("id3");
    CHECK_FALSE(broken->isComplete());
    CHECK(broken->isClosed());
}

TEST_CASE("WorkerFaults.SuccessWithoutSignatureIsNotForwarded")
{
    FaultFixture fixture;
    RawPeer peer(fixture.io, [](RawConnection &connection, const std::string &text, int) {
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + idIn(text)
                         + "\r\nContent-Length: 3\r\n\r\nabc");
    });
    fixture.announce("p1", "plain", peer.address());
    fixture.serve(1);
    CHECK(fixture.call(request("POST", "/unsafe/a", "id1", "b"))->status() == 502);
}

TEST_CASE("WorkerFaults.AddressReusedByAnotherWorkerRunsNothing")
{
    // Another worker has taken over the address of one that is gone and responds 421 to requests
    // for the old one. They go to a live worker, even if only one attempt is allowed.
    FaultFixture fixture;
    int withoutExpectedInstance = 0; // requests that the other worker would run
    RawPeer other(fixture.io, [&](RawConnection &connection, const std::string &text, int) {
        withoutExpectedInstance
            += text.find("Expect-Instance: p1\r\n") == std::string::npos ? 1 : 0;
        connection.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + idIn(text)
                         + "\r\nInstance-Id: x9\r\nContent-Length: 0\r\n\r\n");
    });
    standins::StandInWorker good(fixture.io, fixture.timers, fixture.store, {"p2", "plain", "z2"});
    fixture.announce("p1", "plain", other.address());
    good.announce("ready");
    fixture.serve(2);
    for (int i = 0; i < 3; ++i) {
        const auto client
            = fixture.call(request("POST", "/unsafe/a", "id" + std::to_string(i), "b"));
        CHECK(client->status() == 200);
    }
    CHECK(other.requests() == 1);
    CHECK(withoutExpectedInstance == 0);
}

TEST_CASE("WorkerFaults.EarlyResponseDoesNotCorruptTheRestOfTheBody")
{
    // The worker responds before it has read a long body. The next request must not be taken for
    // the rest of that body.
    FaultFixture fixture;
    standins::StandInWorker worker(fixture.io, fixture.timers, fixture.store, {"p1", "plain"});
    worker.announce("ready");
    fixture.serve(1);
    const std::string longBody(90000, 'x');
    fixture.call(request("POST", "/unsafe/a", "id1", longBody));
    fixture.call(request("POST", "/unsafe/b", "id2", "short"));
    REQUIRE(worker.runs().size() == 2);
    CHECK(worker.runs()[0].body == longBody);
    CHECK(worker.runs()[1].body == "short");
}

TEST_CASE("WorkerFaults.BrokenStreamResumesAfterTheLastWholeEvent")
{
    // The worker aborts in the middle of event 3. Another worker continues after event 2, and the
    // client gets one stream with the first worker's head.
    FaultFixture fixture;
    std::string resumedAfter;
    const auto stream = [&](RawConnection &connection, const std::string &text, int) {
        const std::string after = headerIn(text, "Last-Event-Id");
        if (after.empty()) {
            connection.write(streamHead(idIn(text)) + chunk(event(1) + event(2) + "id: 3\nda"));
            connection.reset();
            return;
        }
        resumedAfter = after;
        connection.write(streamHead(idIn(text)) + chunk(event(3)) + chunk(event(4))
                         + std::string(httpio::LastChunk));
    };
    RawPeer first(fixture.io, stream);
    RawPeer second(fixture.io, stream);
    fixture.announce("m1", "model", first.address());
    fixture.announce("m2", "model", second.address());
    fixture.serve(2);
    const auto client = fixture.call(request("POST", "/resume/a", "id1", "b", StreamHeaders));
    CHECK(resumedAfter == "2");
    REQUIRE(client->isComplete());
    std::string events;
    for (int number = 1; number <= 4; ++number)
        events += event(number);
    std::string received;
    std::string_view left = client->received();
    for (std::size_t at = 0; (at = left.find("id: ", at)) != std::string_view::npos; ++at)
        received += left.substr(at, event(1).size());
    CHECK(received == events);
}

TEST_CASE("WorkerFaults.BrokenStreamThatMayNotResumeIsAbortedForTheClient")
{
    FaultFixture fixture;
    RawPeer peer(fixture.io, [](RawConnection &connection, const std::string &text, int) {
        connection.write(streamHead(idIn(text)) + chunk(event(1)));
        connection.reset();
    });
    fixture.announce("m1", "model", peer.address());
    fixture.announce("m2", "model", peer.address());
    fixture.serve(2);
    const auto client = fixture.call(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    CHECK(client->isClosed());
    CHECK_FALSE(client->isComplete());
    CHECK(peer.requests() == 1);
}

TEST_CASE("WorkerFaults.SilentWorkerIsReplacedForIdempotentRequestsOnly")
{
    FaultFixture fixture;
    RawPeer silent(fixture.io, [](RawConnection &, const std::string &, int) {});
    standins::StandInWorker good(fixture.io, fixture.timers, fixture.store, {"p2", "plain", "z2"});
    fixture.announce("p1", "plain", silent.address());
    good.announce("ready");
    fixture.serve(2);
    const auto idempotent = fixture.call(request("GET", "/safe/a", "id1"));
    CHECK(idempotent->status() == 200);
    CHECK(silent.requests() == 1);
}

TEST_CASE("WorkerFaults.RequestAtItsTimeoutGetsAnUnknownOutcome")
{
    // A worker takes a request that must not run twice and does not respond. At the timeout the
    // client gets 504, as the request may have run.
    FaultFixture fixture;
    RawPeer silent(fixture.io, [](RawConnection &, const std::string &, int) {});
    fixture.announce("p1", "plain", silent.address());
    fixture.serve(1);
    const auto before = std::chrono::steady_clock::now();
    const auto client = fixture.call(request("POST", "/twice/a", "id1", "b"));
    const auto took = std::chrono::steady_clock::now() - before;
    CHECK(client->status() == 504);
    CHECK(took > std::chrono::milliseconds(2400));
    CHECK(took < std::chrono::milliseconds(2900));
    CHECK(silent.requests() == 1);
}
