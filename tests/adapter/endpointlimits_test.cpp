#include "announcingworkers.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

// Requests that a limited worker may get within 4 s: one and a half times the limit, plus 5.
constexpr double SpanSeconds = 4;
int maxArrivals(double perSecond)
{
    return int(1.5 * perSecond * SpanSeconds + 5);
}

} // namespace

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
    CHECK(fixture.announcersRequests() - before <= maxArrivals(1));
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
    CHECK(fixture.announcersRequests() - before <= maxArrivals(1.6));
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
