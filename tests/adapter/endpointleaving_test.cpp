#include "announcingworkers.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

const std::string Leaving = "Server-Leaving: 1\r\n";

} // namespace

// Guards against new requests to a leaving endpoint while the store is away.
TEST_CASE("EndpointLeaving.PlainEndpointGetsNothingAfterItsAnnouncement")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.store.setBehavior(standins::StoreBehavior::Silent);
    fixture.announceFromBusiest();
    fixture.announcement = Leaving;
    const int before = fixture.announcersRequests();
    CHECK(allServed(fixture.callFor(milliseconds(1000), "/unsafe/a")));
    CHECK(fixture.announcersRequests() - before == 1);
}

// Guards against new streams to a leaving engine while the store is away.
TEST_CASE("EndpointLeaving.ModelEndpointGetsNothingAfterItsAnnouncement")
{
    AnnouncingWorkersFixture fixture("model");
    fixture.callFor(milliseconds(200), "/stream/a");
    fixture.store.setBehavior(standins::StoreBehavior::Silent);
    fixture.announceFromBusiest();
    fixture.announcement = Leaving;
    const int before = fixture.announcersRequests();
    CHECK(allServed(fixture.callFor(milliseconds(1000), "/stream/a")));
    CHECK(fixture.announcersRequests() - before == 1);
}

// Guards against a stale entry of the store that overrules what the endpoint itself has announced.
TEST_CASE("EndpointLeaving.OnlyANewIncarnationBringsTheEndpointBack")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.announceFromBusiest();
    fixture.announcement = Leaving;
    fixture.callFor(milliseconds(300), "/unsafe/a");
    const int before = fixture.announcersRequests();
    REQUIRE(before >= 1);
    fixture.listAnnouncer(1, 9);
    fixture.callFor(milliseconds(300), "/unsafe/a");
    CHECK_MESSAGE(fixture.announcersRequests() == before, "requests after a stale entry");
    fixture.unlistAnnouncer();
    fixture.callFor(milliseconds(300), "/unsafe/a");
    fixture.listAnnouncer(1, 8);
    fixture.callFor(milliseconds(300), "/unsafe/a");
    CHECK_MESSAGE(fixture.announcersRequests() == before, "requests after the entry's return");
    fixture.announcement.clear();
    fixture.listAnnouncer(standins::unixMilliseconds(), 8);
    fixture.callFor(milliseconds(500), "/unsafe/a");
    CHECK_MESSAGE(fixture.announcersRequests() > before, "no requests after a restart");
}

// Guards against an announcement that is lost because the request was rejected.
TEST_CASE("EndpointLeaving.RejectionAnnouncesItAsWell")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.announceFromBusiest();
    fixture.announcement = Leaving;
    fixture.rejectsRequests = true;
    fixture.callFor(milliseconds(300), "/unsafe/a");
    const int before = fixture.announcersRequests();
    CHECK(allServed(fixture.callFor(milliseconds(300), "/unsafe/a")));
    CHECK(fixture.announcersRequests() == before);
}

// Guards against callers who wait for an endpoint when all of a pool are leaving.
TEST_CASE("EndpointLeaving.CallersAreRefusedAtOnceWhenAllEndpointsLeave")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.announceFromBusiest();
    fixture.unlistOther();
    fixture.announcement = Leaving;
    fixture.callFor(milliseconds(300), "/unsafe/a");
    const auto sentAt = std::chrono::steady_clock::now();
    const auto client = fixture.call(request("POST", "/unsafe/a", "last", "b"));
    CHECK(client->status() == 503);
    CHECK_FALSE(standins::headerIn(client->received(), "Retry-After").empty());
    CHECK(std::chrono::steady_clock::now() - sentAt < milliseconds(250));
}

// Guards against an announcement that is kept for the process that the store lists, when another
// one made it: the endpoint has started again, and this host could not read that yet.
TEST_CASE("EndpointLeaving.AnnouncementHoldsForAStartThatIsReadLater")
{
    AnnouncingWorkersFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.store.setBehavior(standins::StoreBehavior::Refusing);
    fixture.announceFromBusiest();
    const std::int64_t born = standins::unixMilliseconds();
    fixture.runFor(milliseconds(1000));
    fixture.announcement = Leaving;
    fixture.callFor(milliseconds(300), "/unsafe/a");
    const int before = fixture.announcersRequests();
    REQUIRE(fixture.awaitStoreBack(born));
    CHECK(allServed(fixture.callFor(milliseconds(500), "/unsafe/a")));
    CHECK(fixture.announcersRequests() == before);
}

// Guards against an entry that was not written by the endpoint and shows no later start.
TEST_CASE("EndpointLeaving.EntryWithoutALaterStartDoesNotBringTheEndpointBack")
{
    AnnouncingWorkersFixture fixture("plain");
    const std::int64_t born = standins::unixMilliseconds();
    fixture.listAnnouncer(born, 8);
    REQUIRE(fixture.awaitListed(born));
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.announceFromBusiest();
    fixture.listAnnouncer(born, 9);
    fixture.runFor(milliseconds(1000));
    fixture.announcement = Leaving;
    fixture.callFor(milliseconds(300), "/unsafe/a");
    const int before = fixture.announcersRequests();
    REQUIRE(before >= 1);
    const nlohmann::json starts[]
        = {nullptr, 0, -1, born - 5000, std::to_string(born + 90000), 1.5};
    for (const nlohmann::json &start : starts) {
        nlohmann::json entry = fixture.announcersEntry();
        if (!start.is_null())
            entry["born"] = start;
        fixture.putAnnouncersEntry(entry);
        fixture.callFor(milliseconds(300), "/unsafe/a");
        CHECK_MESSAGE(fixture.announcersRequests() == before, start.dump());
    }
    fixture.listAnnouncer(born, 8);
    fixture.callFor(milliseconds(300), "/unsafe/a");
    CHECK_MESSAGE(fixture.announcersRequests() == before, "after the endpoint's own entry");
}

// Guards against a header that is not understood because of its case or the space around its value.
TEST_CASE("EndpointLeaving.HeaderIsReadInAnyCaseAndSpacing")
{
    for (const char *line :
         {"server-leaving: 1\r\n", "SERVER-LEAVING:1\r\n", "Server-Leaving:\t 1 \t\r\n"}) {
        AnnouncingWorkersFixture fixture("plain");
        fixture.callFor(milliseconds(200), "/unsafe/a");
        fixture.announceFromBusiest();
        fixture.announcement = line;
        fixture.callFor(milliseconds(200), "/unsafe/a");
        const int before = fixture.announcersRequests();
        REQUIRE(before >= 1);
        fixture.callFor(milliseconds(200), "/unsafe/a");
        CHECK_MESSAGE(fixture.announcersRequests() == before, std::string(line));
    }
}
