#include "announcingworkers.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

constexpr int RejectionsPerSecond = 2;
constexpr int Seconds = 3;

// Rejections that the announcer makes while callers keep coming.
int rejections(AnnouncingWorkersFixture &fixture, const std::string &path)
{
    const int before = fixture.announcersRequests();
    fixture.callFor(milliseconds(Seconds * 1000), path);
    return fixture.announcersRequests() - before;
}

// Rejections of the only endpoint of a service that announces this and, from some moment on, has no
// room for any request.
int rejectionsOfOnlyEndpoint(const std::string &announcement, const std::string &service,
                             const std::string &path)
{
    AnnouncingWorkersFixture fixture(service);
    fixture.announcement = announcement;
    fixture.callFor(milliseconds(200), path);
    fixture.announceFromBusiest();
    fixture.unlistOther();
    fixture.callFor(milliseconds(300), path);
    fixture.rejectsRequests = true;
    return rejections(fixture, path);
}

} // namespace

// Guards against a plain endpoint that falls over because it has to reject too many requests.
TEST_CASE("BrittleEndpoints.PlainEndpointRejectsNoMoreThanItBears")
{
    const int rejected = rejectionsOfOnlyEndpoint("Server-Brittle: 2\r\n", "plain", "/unsafe/a");
    CHECK(rejected >= 1);
    CHECK(rejected <= RejectionsPerSecond * Seconds);
}

// Guards against an engine that falls over because it has to reject too many streams.
TEST_CASE("BrittleEndpoints.EngineRejectsNoMoreThanItBears")
{
    const int rejected = rejectionsOfOnlyEndpoint("Server-Brittle: 2\r\n", "model", "/stream/a");
    CHECK(rejected >= 1);
    CHECK(rejected <= RejectionsPerSecond * Seconds);
}

// Guards against an endpoint that bears no rejection and is tried again and again.
TEST_CASE("BrittleEndpoints.EndpointThatBearsNoneIsTriedOnce")
{
    CHECK(rejectionsOfOnlyEndpoint("Server-Brittle: 0\r\n", "plain", "/unsafe/a") == 1);
}

// Guards against a malformed value that takes an endpoint out of use.
TEST_CASE("BrittleEndpoints.UnreadableValueIsIgnored")
{
    for (const char *text : {"many", "", "-1", "nan"}) {
        const std::string announcement = std::string("Server-Brittle: ") + text + "\r\n";
        CHECK_MESSAGE(rejectionsOfOnlyEndpoint(announcement, "plain", "/unsafe/a")
                          > RejectionsPerSecond * Seconds,
                      std::string(text));
    }
}
