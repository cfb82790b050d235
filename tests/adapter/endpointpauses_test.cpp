#include "announcingworkers.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

// Rejects requests and asks for pauses from now on.
void startRejecting(AnnouncingWorkersFixture &fixture, const std::string &seconds)
{
    fixture.announceFromBusiest();
    fixture.announcement = "Retry-After: " + seconds + "\r\n";
    fixture.rejectsRequests = true;
}

// Returns the requests that the rejecting worker gets in the time after its first rejection.
int requestsAfterTheFirstRejection(AnnouncingWorkersFixture &fixture, milliseconds time,
                                   const std::string &path)
{
    const int before = fixture.announcersRequests();
    while (fixture.announcersRequests() == before)
        fixture.callFor(milliseconds(1), path);
    fixture.callFor(time, path);
    return fixture.announcersRequests() - before - 1;
}

} // namespace

// Guards against requests to an overloaded endpoint that has asked this host for a pause.
TEST_CASE("EndpointPauses.PlainEndpointGetsNothingDuringThePause")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    startRejecting(fixture, "1.2");
    fixture.unlistOther();
    CHECK(requestsAfterTheFirstRejection(fixture, milliseconds(1000), "/unsafe/a") == 0);
}

// Guards against streams to an overloaded engine that has asked this host for a pause.
TEST_CASE("EndpointPauses.ModelEndpointGetsNothingDuringThePause")
{
    AnnouncingWorkersFixture fixture("model");
    fixture.callFor(milliseconds(200), "/stream/a");
    startRejecting(fixture, "1.2");
    CHECK(requestsAfterTheFirstRejection(fixture, milliseconds(500), "/stream/a") == 0);
    CHECK(allServed(fixture.callFor(milliseconds(400), "/stream/a")));
}

// Guards against an endpoint that stays unused after its pause.
TEST_CASE("EndpointPauses.EndpointIsUsedAgainAfterThePause")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    startRejecting(fixture, "0.5");
    fixture.unlistOther();
    requestsAfterTheFirstRejection(fixture, milliseconds(100), "/unsafe/a");
    fixture.rejectsRequests = false;
    fixture.announcement.clear();
    CHECK_FALSE(allServed(fixture.callFor(milliseconds(200), "/unsafe/a")));
    fixture.runFor(milliseconds(300));
    CHECK(allServed(fixture.callFor(milliseconds(300), "/unsafe/a")));
}

// Guards against callers who wait, or return too early, when all endpoints have asked for a pause.
TEST_CASE("EndpointPauses.CallersAreToldToReturnAfterThePause")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    startRejecting(fixture, "0.7");
    fixture.unlistOther();
    requestsAfterTheFirstRejection(fixture, milliseconds(50), "/unsafe/a");
    const auto sentAt = std::chrono::steady_clock::now();
    const auto client = fixture.call(request("POST", "/unsafe/a", "last", "b"));
    CHECK(client->status() == 503);
    CHECK(std::chrono::steady_clock::now() - sentAt < milliseconds(250));
    const double seconds = std::atof(standins::headerIn(client->received(), "Retry-After").c_str());
    CHECK(seconds >= 0.5);
    CHECK(seconds <= 1.0);
}

// Guards against a malformed time that takes an endpoint out of use.
TEST_CASE("EndpointPauses.UnreadablePauseIsIgnored")
{
    for (const char *text : {"", "-3", "nan", "soon"}) {
        AnnouncingWorkersFixture fixture("plain");
        fixture.callFor(milliseconds(200), "/unsafe/a");
        startRejecting(fixture, text);
        fixture.unlistOther();
        CHECK_MESSAGE(requestsAfterTheFirstRejection(fixture, milliseconds(200), "/unsafe/a") >= 5,
                      std::string(text));
    }
}

// Guards against a pause that is kept for the process that the store lists, when another one asked
// for it: the endpoint has started again, and this host could not read that yet.
TEST_CASE("EndpointPauses.PauseHoldsForAStartThatIsReadLater")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.store.setBehavior(standins::StoreBehavior::Refusing);
    startRejecting(fixture, "8");
    const std::int64_t born = standins::unixMilliseconds();
    fixture.runFor(milliseconds(1000));
    CHECK(requestsAfterTheFirstRejection(fixture, milliseconds(100), "/unsafe/a") == 0);
    const int before = fixture.announcersRequests();
    REQUIRE(fixture.awaitStoreBack(born));
    CHECK(allServed(fixture.callFor(milliseconds(500), "/unsafe/a")));
    CHECK(fixture.announcersRequests() == before);
}
