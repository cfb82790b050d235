#include "faultfixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::RawConnection;
using standins::RawPeer;

namespace {

// Responses without an id that a faulty worker may send before the one to the request.
const std::vector<std::string> StrayResponses{
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nstray",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"};

// Writes a stray response before that to the second request.
RawPeer::OnRequest strayBeforeSecond(const std::string &stray)
{
    return [stray](RawConnection &connection, const std::string &text, int number) {
        if (number == 2)
            connection.write(stray);
        connection.write(workerResponse(idIn(text), "own"));
    };
}

} // namespace

// Guards against stray bytes of a worker that become the promise that a request has not run.
TEST_CASE("WorkerFaults.ResponseWithoutAnIdPromisesNothing")
{
    for (const std::string &stray : StrayResponses) {
        for (const std::string path : {"/unsafe/a", "/twice/a", "/stream/a"}) {
            CAPTURE(stray);
            CAPTURE(path);
            FaultFixture fixture;
            RawPeer faulty(fixture.io, strayBeforeSecond(stray));
            const std::string service = path == "/stream/a" ? "model" : "plain";
            fixture.announce("p1", service, faulty.address());
            fixture.serve(1);
            const std::string headers = service == "model" ? StreamHeaders : "";
            CHECK(fixture.call(request("POST", path, "id1", "b", headers))->status() == 200);
            CHECK(fixture.call(request("POST", path, "id2", "b", headers))->status() == 502);
            CHECK(faulty.requests() == 2);
        }
    }
}

// Guards against idempotent requests that end with the stray bytes of one worker.
TEST_CASE("WorkerFaults.IdempotentRequestGoesOnAfterAResponseWithoutAnId")
{
    for (const std::string &stray : StrayResponses) {
        CAPTURE(stray);
        FaultFixture fixture;
        RawPeer first(fixture.io, strayBeforeSecond(stray));
        RawPeer second(fixture.io, strayBeforeSecond(stray));
        fixture.announce("p1", "plain", first.address());
        fixture.announce("p2", "plain", second.address());
        fixture.serve(2);
        for (const std::string id : {"id1", "id2", "id3", "id4"}) {
            const auto client = fixture.call(request("POST", "/safe/a", id, "b"));
            CHECK(client->status() == 200);
            CHECK(client->body() == "own");
        }
    }
}

// Guards against announcements that nobody is known to have made.
TEST_CASE("WorkerFaults.ResponseWithoutAnIdAnnouncesNothing")
{
    FaultFixture fixture;
    RawPeer faulty(fixture.io,
                   strayBeforeSecond("HTTP/1.1 503 Service Unavailable\r\nServer-Leaving: 1\r\n"
                                     "Server-Limit: 1\r\nServer-Brittle: 1\r\nNot-Executed: 1\r\n"
                                     "Retry-After: 3\r\nContent-Length: 0\r\n\r\n"));
    fixture.announce("p1", "plain", faulty.address());
    fixture.serve(1);
    for (const std::string id : {"id1", "id2"})
        fixture.call(request("POST", "/unsafe/a", id, "b"));
    REQUIRE(faulty.requests() == 2);
    const auto endpoint = fixture.gateway->state().registry.findAvailable(units::EndpointId("p1"));
    REQUIRE(endpoint != nullptr);
    CHECK_FALSE(endpoint->leaving);
    CHECK_FALSE(endpoint->rateLimiter.limit());
    CHECK_FALSE(endpoint->maxRejections);
    CHECK(fixture.call(request("POST", "/unsafe/a", "id3", "b"))->status() == 200);
}

// Guards against clients without ids, to whose requests workers respond without one.
TEST_CASE("WorkerFaults.RequestWithoutAnIdGetsTheResponseWithoutOne")
{
    FaultFixture fixture;
    RawPeer peer(fixture.io, [](RawConnection &connection, const std::string &, int) {
        connection.write("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                         "Content-Length: 3\r\n\r\nown");
    });
    fixture.announce("p1", "plain", peer.address());
    fixture.serve(1);
    const auto client = fixture.call("GET /safe/a HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 2500"
                                     "\r\nAuthorization: Bearer k1\r\n\r\n");
    CHECK(client->status() == 200);
    CHECK(client->body() == "own");
}
