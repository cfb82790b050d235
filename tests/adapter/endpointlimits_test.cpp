#include "announcingworkers.h"

#include <limitedarrivals.h>

#include <utility>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

// Guards against overloading an endpoint that has sent a limit.
TEST_CASE("EndpointLimits.PlainEndpointGetsNoMoreThanItsLimit")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.announceFromBusiest();
    fixture.announcement = "Server-Limit: 1\r\n";
    const int before = fixture.announcersRequests();
    CHECK(allServed(fixture.callFor(milliseconds(4000), "/unsafe/a")));
    CHECK(fixture.announcersRequests() - before >= 2);
    CHECK(fixture.announcersRequests() - before <= tests::LimitedArrivals::allowed(1));
}

// Guards against overloading a model engine that has sent a limit.
TEST_CASE("EndpointLimits.ModelEndpointGetsNoMoreThanItsLimit")
{
    AnnouncingWorkersFixture fixture("model");
    fixture.callFor(milliseconds(200), "/stream/a");
    fixture.announceFromBusiest();
    fixture.announcement = "Server-Limit: 1.6\r\n";
    const int before = fixture.announcersRequests();
    CHECK(allServed(fixture.callFor(milliseconds(4000), "/stream/a")));
    CHECK(fixture.announcersRequests() - before >= 2);
    CHECK(fixture.announcersRequests() - before <= tests::LimitedArrivals::allowed(1.6));
}

// Guards against an endpoint that stays limited after it has withdrawn its limit.
TEST_CASE("EndpointLimits.LimitEndsWithTheFirstResponseWithoutOne")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.announcement = "Server-Limit: 2\r\n";
    fixture.callFor(milliseconds(1000), "/unsafe/a");
    fixture.announcement.clear();
    fixture.callFor(milliseconds(1000), "/unsafe/a");
    const int before = fixture.announcersRequests();
    const auto statuses = fixture.callFor(milliseconds(1000), "/unsafe/a");
    CHECK(fixture.announcersRequests() - before > int(statuses.size()) / 4);
}

// Guards against a malformed limit that takes an endpoint out of use.
TEST_CASE("EndpointLimits.UnreadableLimitIsIgnored")
{
    for (const char *text : {"none", "", "-3", "nan", "1e400"}) {
        AnnouncingWorkersFixture fixture("plain");
        fixture.announcement = std::string("Server-Limit: ") + text + "\r\n";
        const auto statuses = fixture.callFor(milliseconds(500), "/unsafe/a");
        CHECK_MESSAGE(fixture.announcersRequests() > int(statuses.size()) / 4, text);
    }
}

// Guards against a limit that is lost, and fresh requests at once, when the store lists a start of
// the endpoint that this host did not know.
TEST_CASE("EndpointLimits.LimitHoldsForStartsThatAreReadLater")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.announceFromBusiest();
    fixture.announcement = "Server-Limit: 0\r\n";
    fixture.callFor(milliseconds(300), "/unsafe/a");
    const int before = fixture.announcersRequests();
    const std::int64_t born = standins::unixMilliseconds() - 10000;
    for (int i = 0; i < 6; ++i) {
        fixture.listAnnouncer(born + i, 8);
        REQUIRE(fixture.awaitListed(born + i));
        fixture.callFor(milliseconds(200), "/unsafe/a");
    }
    CHECK(fixture.announcersRequests() - before <= 1);
    fixture.announcement.clear();
    fixture.runFor(milliseconds(600));
    fixture.listAnnouncer(standins::unixMilliseconds(), 8);
    fixture.callFor(milliseconds(500), "/unsafe/a");
    CHECK_MESSAGE(fixture.announcersRequests() - before > 1, "no requests after a restart");
}

namespace {

constexpr int LateResponses = 4;

// Two plain workers. One names a limit of 0 to every request but the first ones, whose responses
// lack the header, and come after the limit.
int arrivalsAfterALateResponse()
{
    GatewayFixture fixture;
    fixture.store.put("config", "main", operatorConfiguration());
    std::vector<std::pair<std::shared_ptr<standins::RawConnection>, std::string>> waiting;
    bool isLimited = false;
    standins::RawPeer limited(
        fixture.io, [&](standins::RawConnection &connection, const std::string &text, int number) {
            const std::string id = standins::headerIn(text, "Attempt-Id");
            if (number <= LateResponses) {
                waiting.emplace_back(connection.shared_from_this(), id);
                return;
            }
            isLimited = true;
            connection.write(workerResponse(id, "fine", "Server-Limit: 0\r\n"));
        });
    // Slow, so that the limited worker has the least load.
    standins::RawPeer other(
        fixture.io, [&](standins::RawConnection &connection, const std::string &text, int) {
            fixture.timers.after(milliseconds(100), [open = connection.shared_from_this(), text] {
                open->write(workerResponse(standins::headerIn(text, "Attempt-Id"), "fine"));
            });
        });
    fixture.announce("e0", "plain", limited.address());
    fixture.announce("e1", "plain", other.address());
    fixture.start();
    REQUIRE(fixture.awaitServing(2));
    std::vector<std::shared_ptr<RawClient>> clients;
    const auto send = [&] {
        clients.push_back(fixture.connect());
        clients.back()->send(
            request("POST", "/unsafe/a", "id" + std::to_string(clients.size()), "body"));
        fixture.runFor(milliseconds(20));
    };
    while (!isLimited && clients.size() < 100)
        send();
    REQUIRE(isLimited);
    const int before = limited.requests();
    for (const auto &[connection, id] : waiting) {
        connection->write(workerResponse(id, "fine"));
        for (int i = 0; i < 10; ++i)
            send();
    }
    return limited.requests() - before;
}

} // namespace

// Guards against a limit that is ended by a response to a request sent before it was announced.
TEST_CASE("EndpointLimits.LateResponseWithoutTheHeaderDoesNotEndALimit")
{
    CHECK(arrivalsAfterALateResponse() <= 1);
}
