#include "gatewayworld.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using standins::RawConnection;
using standins::RawPeer;

namespace {

// A gateway whose workers are scripted; a test announces those that it needs.
struct FaultWorld : GatewayWorld
{
    FaultWorld() { store.put("config", "main", operatorsConfiguration()); }

    void serve(std::size_t endpoints)
    {
        start();
        REQUIRE(awaitServing(endpoints));
    }
};

std::string idIn(const std::string &request)
{
    return headerIn(request, "Attempt-Id");
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

std::string chunk(const std::string &text)
{
    return httpio::encodeChunk(text);
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s." + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace

TEST_CASE("WorkerFaults.RequestThatMayHaveRunIsNotSentAgain")
{
    // The worker reads a request that must run at most once and closes the connection. It may have
    // run it: the client gets 502, which promises nothing, and no worker gets it a second time.
    FaultWorld world;
    const auto closes = [](RawConnection &connection, const std::string &, int) {
        connection.reset();
    };
    RawPeer first(world.io, closes);
    RawPeer second(world.io, closes);
    world.announce("p1", "plain", first.address());
    world.announce("p2", "plain", second.address());
    world.serve(2);
    const auto client = world.call(request("POST", "/twice/a", "id1", "b"));
    CHECK(client->status() == 502);
    CHECK(first.requests() + second.requests() == 1);
}

TEST_CASE("WorkerFaults.BreakOnAReusedConnectionIsNotRepeatedSilently")
{
    // The second request goes out on a kept connection; the worker reads it and closes before any
    // byte of a response. An HTTP client that repeats such requests by itself would run it twice.
    FaultWorld world;
    RawPeer peer(world.io, [](RawConnection &connection, const std::string &text, int number) {
        if (number == 1)
            connection.write(workerResponse(idIn(text), "one"));
        else
            connection.reset();
    });
    world.announce("p1", "plain", peer.address());
    world.serve(1);
    CHECK(world.call(request("POST", "/unsafe/a", "id1", "b"))->status() == 200);
    CHECK(world.call(request("POST", "/unsafe/a", "id2", "b"))->status() == 502);
    CHECK(peer.connections() == 1);
    CHECK(peer.requests() == 2);
}

TEST_CASE("WorkerFaults.IdempotentRequestIsServedByAnotherWorker")
{
    FaultWorld world;
    int broken = 0;
    RawPeer bad(world.io, [&](RawConnection &connection, const std::string &, int) {
        ++broken;
        connection.reset();
    });
    standins::StandInWorker good(world.io, world.timers, world.store, {"p2", "plain", "z2"});
    world.announce("p1", "plain", bad.address());
    good.announce("ready");
    world.serve(2);
    const auto client = world.call(request("GET", "/safe/a", "id1"));
    CHECK(broken == 1);
    CHECK(client->status() == 200);
    CHECK(client->body() == "answer of p2");
}

TEST_CASE("WorkerFaults.RejectedRequestIsRefusedAsNotRunWithATimeToComeBack")
{
    FaultWorld world;
    standins::StandInWorker full(world.io, world.timers, world.store, {"p1", "plain"});
    full.setFull(true);
    full.announce("ready");
    world.serve(1);
    const auto client = world.call(request("POST", "/unsafe/a", "id1", "b"));
    CHECK(client->status() == 503);
    CHECK(full.rejected() == 1);
    CHECK(full.runs().empty());
    const double comeBack = std::atof(headerIn(client->received(), "Retry-After").c_str());
    CHECK(comeBack > 0);
    CHECK(comeBack < 2.5 / 3 + 0.01);
}

TEST_CASE("WorkerFaults.LateSecondResponseIsNotTakenForTheNextOne")
{
    // A worker sends a second response to the first request just when the second request is on the
    // connection. The second client must get its own response, which follows.
    FaultWorld world;
    RawPeer peer(world.io, [](RawConnection &connection, const std::string &text, int number) {
        if (number == 2)
            connection.write(workerResponse("id1", "one again"));
        connection.write(workerResponse(idIn(text), number == 1 ? "one" : "two"));
    });
    world.announce("p1", "plain", peer.address());
    world.serve(1);
    CHECK(world.call(request("POST", "/unsafe/a", "id1", "b"))->body() == "one");
    const auto second = world.call(request("POST", "/unsafe/a", "id2", "b"));
    CHECK(second->status() == 200);
    CHECK(second->body() == "two");
    CHECK(headerIn(second->received(), "Attempt-Id") == "id2");
}

TEST_CASE("WorkerFaults.BytesOnAnIdleConnectionEndItsUse")
{
    FaultWorld world;
    RawPeer peer(world.io, [](RawConnection &connection, const std::string &text, int number) {
        connection.write(workerResponse(idIn(text), "own"));
        if (number == 1)
            connection.write(workerResponse("id1", "extra"));
    });
    world.announce("p1", "plain", peer.address());
    world.serve(1);
    world.call(request("POST", "/unsafe/a", "id1", "b"));
    world.runFor(std::chrono::milliseconds(30));
    CHECK(world.call(request("POST", "/unsafe/a", "id2", "b"))->body() == "own");
    CHECK(peer.connections() == 2);
}

TEST_CASE("WorkerFaults.ResponseWithoutLengthIsCompleteOnlyIfItEndsInOrder")
{
    FaultWorld world;
    const std::string head = "\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n";
    RawPeer peer(world.io, [&](RawConnection &connection, const std::string &text, int number) {
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + idIn(text) + head + "half of it");
        if (number == 1)
            connection.closeInOrder();
        else
            connection.reset();
    });
    world.announce("p1", "plain", peer.address());
    world.serve(1);
    const auto inOrder = world.call(request("POST", "/unsafe/a", "id1", "b"));
    CHECK(inOrder->status() == 200);
    CHECK(inOrder->body() == "half of it");
    CHECK(world.call(request("POST", "/unsafe/a", "id2", "b"))->status() == 502);
}

TEST_CASE("WorkerFaults.SuccessWithoutSignatureIsNotPassedOn")
{
    FaultWorld world;
    RawPeer peer(world.io, [](RawConnection &connection, const std::string &text, int) {
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + idIn(text)
                         + "\r\nContent-Length: 3\r\n\r\nabc");
    });
    world.announce("p1", "plain", peer.address());
    world.serve(1);
    CHECK(world.call(request("POST", "/unsafe/a", "id1", "b"))->status() == 502);
}

TEST_CASE("WorkerFaults.AddressReusedByAnotherWorkerRunsNothing")
{
    // A worker is gone and another one has its address; it answers 421 to requests that expect the
    // old one. The request goes to a worker that is there, even if only one attempt is allowed.
    FaultWorld world;
    int unnamed = 0; // requests that the other worker would run
    RawPeer other(world.io, [&](RawConnection &connection, const std::string &text, int) {
        unnamed += text.find("Expect-Instance: p1\r\n") == std::string::npos ? 1 : 0;
        connection.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + idIn(text)
                         + "\r\nInstance-Id: x9\r\nContent-Length: 0\r\n\r\n");
    });
    standins::StandInWorker good(world.io, world.timers, world.store, {"p2", "plain", "z2"});
    world.announce("p1", "plain", other.address());
    good.announce("ready");
    world.serve(2);
    for (int i = 0; i < 3; ++i) {
        const auto client = world.call(request("POST", "/unsafe/a", "id" + std::to_string(i), "b"));
        CHECK(client->status() == 200);
    }
    CHECK(other.requests() == 1);
    CHECK(unnamed == 0);
}

TEST_CASE("WorkerFaults.EarlyResponseDoesNotSpoilTheRestOfTheBody")
{
    // The worker answers before it has read a long body. The next request must not be read as the
    // rest of that body: it goes to the worker whole.
    FaultWorld world;
    standins::StandInWorker worker(world.io, world.timers, world.store, {"p1", "plain"});
    worker.announce("ready");
    world.serve(1);
    const std::string longBody(90000, 'x');
    world.call(request("POST", "/unsafe/a", "id1", longBody));
    world.call(request("POST", "/unsafe/b", "id2", "short"));
    REQUIRE(worker.runs().size() == 2);
    CHECK(worker.runs()[0].body == longBody);
    CHECK(worker.runs()[1].body == "short");
}

TEST_CASE("WorkerFaults.BrokenStreamResumesAfterTheLastWholeEvent")
{
    // The worker breaks off in the middle of event 3. Another worker goes on after event 2, and the
    // client sees one stream with the first worker's head.
    FaultWorld world;
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
    RawPeer first(world.io, stream);
    RawPeer second(world.io, stream);
    world.announce("m1", "model", first.address());
    world.announce("m2", "model", second.address());
    world.serve(2);
    const auto client = world.call(request("POST", "/resume/a", "id1", "b", StreamHeaders));
    CHECK(resumedAfter == "2");
    REQUIRE(client->isWhole());
    std::string events;
    for (int number = 1; number <= 4; ++number)
        events += event(number);
    std::string received;
    std::string_view left = client->received();
    for (std::size_t at = 0; (at = left.find("id: ", at)) != std::string_view::npos; ++at)
        received += left.substr(at, event(1).size());
    CHECK(received == events);
}

TEST_CASE("WorkerFaults.BrokenStreamThatMayNotResumeIsCutForTheClientToo")
{
    FaultWorld world;
    RawPeer peer(world.io, [](RawConnection &connection, const std::string &text, int) {
        connection.write(streamHead(idIn(text)) + chunk(event(1)));
        connection.reset();
    });
    world.announce("m1", "model", peer.address());
    world.announce("m2", "model", peer.address());
    world.serve(2);
    const auto client = world.call(request("POST", "/stream/a", "id1", "b", StreamHeaders));
    CHECK(client->isClosed());
    CHECK_FALSE(client->isWhole());
    CHECK(peer.requests() == 1);
}

TEST_CASE("WorkerFaults.SilentWorkerIsReplacedForIdempotentRequestsOnly")
{
    FaultWorld world;
    RawPeer silent(world.io, [](RawConnection &, const std::string &, int) {});
    standins::StandInWorker good(world.io, world.timers, world.store, {"p2", "plain", "z2"});
    world.announce("p1", "plain", silent.address());
    good.announce("ready");
    world.serve(2);
    const auto idempotent = world.call(request("GET", "/safe/a", "id1"));
    CHECK(idempotent->status() == 200);
    CHECK(silent.requests() == 1);
}

TEST_CASE("WorkerFaults.RequestAtItsTimeoutIsAnsweredAsUnknown")
{
    // A worker takes a request that must not run twice and says nothing. At the end of the time
    // the client gets 504: the request may have run.
    FaultWorld world;
    RawPeer silent(world.io, [](RawConnection &, const std::string &, int) {});
    world.announce("p1", "plain", silent.address());
    world.serve(1);
    const auto before = std::chrono::steady_clock::now();
    const auto client = world.call(request("POST", "/twice/a", "id1", "b"));
    const auto took = std::chrono::steady_clock::now() - before;
    CHECK(client->status() == 504);
    CHECK(took > std::chrono::milliseconds(2400));
    CHECK(took < std::chrono::milliseconds(2900));
    CHECK(silent.requests() == 1);
}
