#include "relayfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("StoreRelay.ChangesReachTheFollowerWithoutACallToTheStore")
{
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    const int calls = fixture.store.calls();
    fixture.announce("p2", "plain", "127.0.0.1:9");
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.count("p2") == 1; },
                           milliseconds(200)));
    fixture.store.remove("servers", "p1");
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.count("p1") == 0; },
                           milliseconds(200)));
    CHECK(fixture.store.calls() - calls <= 2); // the reader's watches
    CHECK(fixture.followerSource.failures == 0);
}

TEST_CASE("StoreRelay.FollowerThatSwitchesSourceDoesNotListAgain")
{
    // Followers switch to another reader, or hosts that read the store become followers. If each
    // listed again, the new reader's link would be busy for longer than the calls' timeouts, and no
    // host would serve for half a minute.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.followerSource.readFromStore();
    fixture.startMirrors();
    const int lists = fixture.followerState.lists;
    fixture.followerSource.readFromHost();
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.runFor(milliseconds(300));
    fixture.announce("p3", "plain", "127.0.0.1:9");
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.count("p3") == 1; },
                           milliseconds(300)));
    CHECK(fixture.followerState.names.count("p2") == 1);
    CHECK(fixture.followerState.lists == lists);
    CHECK(fixture.followerSource.failures == 0);
}

TEST_CASE("StoreRelay.ChangesThatArriveTogetherAllReachTheFollower")
{
    // The reader gets several changes in one response, which has one revision. A follower that got
    // only the first at this revision would then request later ones and miss the others: removed
    // endpoints would get requests for ever.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    fixture.store.setBehavior(standins::StoreBehavior::Silent); // holds back all events
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.announce("p3", "plain", "127.0.0.1:9");
    fixture.store.remove("servers", "p1");
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.announce("p4", "plain", "127.0.0.1:9");
    const std::set<std::string> expected{"p2", "p3", "p4"};
    CHECK(fixture.runUntil([&] { return fixture.followerState.names == expected; },
                           milliseconds(500)));
}

TEST_CASE("StoreRelay.FollowersProofIsNeverMoreRecentThanTheReaders")
{
    // The reader's last proof is two seconds old. If the follower took the response for a fresh
    // proof, it would accept a revoked key for that much longer.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.lease.renew(fixture.clock.now());
    fixture.reader.start();
    REQUIRE(fixture.runUntil([&] { return !fixture.readerState.names.empty(); }));
    const units::TimePoint readersProof = fixture.clock.now() - seconds(2);
    fixture.lease = routing::FreshnessLease(seconds(5), milliseconds(1300));
    fixture.lease.renew(readersProof);
    fixture.follower.start();
    fixture.runFor(milliseconds(1000));
    REQUIRE(fixture.followerState.confirmedUntil != units::TimePoint{});
    CHECK(fixture.followerState.confirmedUntil <= readersProof + milliseconds(2));
}

TEST_CASE("StoreRelay.FollowerGetsAResponseWithEachResponseOfTheStore")
{
    // In an outage each host accepts keys until its last proof is too old. A follower that always
    // waited for its own interval would stop earlier than its reader.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    fixture.runFor(milliseconds(800)); // the follower's wait has ended, the reader's has not
    const int responses = fixture.followerSource.responses;
    const units::TimePoint before = fixture.readerState.confirmedUntil;
    REQUIRE(
        fixture.runUntil([&] { return fixture.readerState.confirmedUntil > before; }, seconds(2)));
    CHECK(fixture.runUntil([&] { return fixture.followerSource.responses > responses; },
                           milliseconds(100)));
}

TEST_CASE("StoreRelay.CallIsHeldBrieflyForAReaderThatMissedOneResponse")
{
    // One response of the store to the reader is lost. Its followers need not switch to another
    // reader: a call during the gap gets a response when the reader reaches the store again.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    fixture.relay.onCurrent("servers", false);
    fixture.runFor(milliseconds(100));
    fixture.relay.onCurrent("servers", true);
    fixture.runFor(milliseconds(300));
    CHECK(fixture.followerSource.failures == 0);
}

TEST_CASE("StoreRelay.FollowerLearnsAtOnceThatItsReaderCantReachTheStore")
{
    // The store refuses the reader and serves others; its followers must not wait for it.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    fixture.reachesStoreSoon = false;
    fixture.relay.onCurrent("servers", false);
    CHECK(
        fixture.runUntil([&] { return fixture.followerSource.failures == 1; }, milliseconds(400)));
    fixture.announce("p2", "plain", "127.0.0.1:9");
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.count("p2") == 1; },
                           milliseconds(500)));
}

TEST_CASE("StoreRelay.CallThatWaitsForTheStoreGetsAResponseAfterTheOutage")
{
    // No reader can reach the store, and the follower waits at one of them until it can.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    fixture.relay.onCurrent("servers", false);
    fixture.followerSource.source.waitsForStore = true;
    fixture.runFor(milliseconds(500));
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.relay.onCurrent("servers", true);
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.count("p2") == 1; },
                           milliseconds(200)));
}

TEST_CASE("StoreRelay.FollowersDoNotListAgainWhenTheStoresHistoryIsGone")
{
    // The store drops its history, and the reader lists. The differences to its previous state are
    // the changes in the gap, and each follower gets these, including removals.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.startMirrors();
    const int lists = fixture.followerState.lists;
    fixture.store.setBehavior(standins::StoreBehavior::Silent); // keeps the watch from reporting
    fixture.store.remove("servers", "p1");
    fixture.announce("p3", "plain", "127.0.0.1:9");
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.store.compact();
    const std::set<std::string> expected{"p2", "p3"};
    CHECK(fixture.runUntil([&] { return fixture.followerState.names == expected; }, seconds(1)));
    CHECK(fixture.followerState.lists == lists);
}

TEST_CASE("StoreRelay.ListOlderThanTheKnownStateIsRejected")
{
    // The follower knows that an endpoint is gone and then has to list at a reader. A reader that
    // does not know of the removal yet must not bring the endpoint back.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.followerSource.readFromStore();
    fixture.follower.start();
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.size() == 2; }));
    const std::uint64_t before = fixture.store.revision();
    fixture.store.remove("servers", "p1");
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.size() == 1; }));

    MirroredObject old;
    old.name = "p1";
    old.revision = routing::Revision(before - 1);
    fixture.lease.renew(fixture.clock.now());
    fixture.relay.onList("servers", {old}, before);
    fixture.relay.onCurrent("servers", true);
    fixture.followerSource.readFromHost();
    fixture.store.compact(); // ends the follower's watch; the next call goes to the reader
    REQUIRE(fixture.runUntil([&] { return fixture.followerSource.failures > 0; }));
    CHECK(fixture.followerState.names == std::set<std::string>{"p2"});
}

TEST_CASE("ObjectMirror.StaleListIsNotUsedBeforeTheFirstWatchReturns")
{
    // A starting host reads a list that is some seconds old, as that costs little. An endpoint that
    // was removed since must not get requests, even before the first watch has returned.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.announce("p2", "plain", "127.0.0.1:9");
    fixture.store.freezeStaleLists();
    fixture.store.remove("servers", "p1");
    fixture.followerSource.readFromStore();
    fixture.followerSource.source.mayBeStale = true;
    fixture.follower.start();
    REQUIRE(fixture.runUntil([&] { return fixture.followerSource.responses == 1; }));
    CHECK(fixture.followerState.names.empty());
    fixture.followerSource.readFromStore();
    CHECK(fixture.runUntil(
        [&] { return fixture.followerState.names == std::set<std::string>{"p2"}; }));
    CHECK(fixture.store.staleLists() == 1);
}

TEST_CASE("ObjectMirror.FailedWatchContinuesWithoutAList")
{
    // One response of the store is lost. Another list would cost the store and the link more than
    // a new watch from the same revision.
    RelayFixture fixture;
    fixture.announce("p1", "plain", "127.0.0.1:9");
    fixture.followerSource.readFromStore();
    fixture.follower.start();
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.size() == 1; }));
    const int lists = fixture.store.lists();
    fixture.store.setBehavior(standins::StoreBehavior::DroppingResponses);
    REQUIRE(fixture.runUntil([&] { return fixture.followerSource.failures > 0; }, seconds(3)));
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    fixture.announce("p2", "plain", "127.0.0.1:9");
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.size() == 2; }, seconds(1)));
    CHECK(fixture.store.lists() == lists);
}

TEST_CASE("StoreRelay.OnlyTheLastVersionOfALargeObjectIsKept")
{
    // Configurations with thousands of routes may come in quick succession. A host that kept each
    // version for followers that are behind would run out of memory; the last one suffices.
    RelayFixture fixture;
    const std::string large(100000, 'x');
    fixture.store.put("servers", "big", large);
    fixture.startMirrors();
    fixture.followerSource.readFromStore();
    for (int i = 0; i < 20; ++i) {
        fixture.store.put("servers", "big", large + std::to_string(i));
        fixture.runFor(milliseconds(30));
    }
    fixture.announce("p1", "plain", "127.0.0.1:9");
    const auto client = RawClient::connect(fixture.io, fixture.followerSource.host);
    client->send("GET /objects/servers?watch=1&wait_ms=0 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return client->isComplete(); }, seconds(2)));
    // Revision 1 is older than the reader's first list. From there on, one state of each object.
    client->clear();
    const std::uint64_t first = 2;
    client->send("GET /objects/servers?watch=" + std::to_string(first)
                 + "&wait_ms=0 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return client->isComplete(); }, seconds(2)));
    CHECK(client->status() == 200);
    CHECK(client->body().size() < 2 * large.size());
}

namespace {

// A fleet of four cells in which the pool "plain" is divided.
struct DividedFixture : RelayFixture
{
    DividedFixture()
    {
        division = routing::FleetDivision(4, {"plain"});
        for (int i = 0; i < 40; ++i)
            announce("p" + std::to_string(i), "plain", "127.0.0.1:9");
        announce("m1", "model", "127.0.0.1:9");
    }
    bool isInFollowersCell(const std::string &name) const
    {
        return division.isUsedIn(division.cellOf(FollowerIp), units::PoolName("plain"),
                                 units::EndpointId(name));
    }
    std::set<std::string> ofFollowersCell() const
    {
        std::set<std::string> names{"m1"};
        for (const std::string &name : readerState.names) {
            if (name != "m1" && isInFollowersCell(name))
                names.insert(name);
        }
        return names;
    }
    void startDivided()
    {
        lease.renew(clock.now());
        reader.start();
        REQUIRE(runUntil([&] { return readerState.names.size() == 41; }));
        follower.start();
        REQUIRE(runUntil([&] { return followerState.lists == 1; }));
    }
    std::string nameInCell(bool followers) const
    {
        int number = 100;
        while (isInFollowersCell("p" + std::to_string(number)) != followers)
            ++number;
        return "p" + std::to_string(number);
    }
};

} // namespace

// Guards against hosts that each list, decode and hold the endpoints of the whole fleet.
TEST_CASE("StoreRelay.FollowerHoldsTheEndpointsOfItsCellAndOfUndividedPools")
{
    DividedFixture fixture;
    fixture.startDivided();
    CHECK(fixture.followerState.division == fixture.division);
    CHECK(fixture.followerState.names == fixture.ofFollowersCell());
    CHECK(fixture.followerState.names.size() < 25);
    const std::string other = fixture.nameInCell(false);
    const std::string own = fixture.nameInCell(true);
    fixture.announce(other, "plain", "127.0.0.1:9");
    fixture.announce(own, "plain", "127.0.0.1:9");
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.count(own) == 1; }));
    CHECK(fixture.followerState.names.count(other) == 0);
    fixture.store.remove("servers", own);
    CHECK(fixture.runUntil([&] { return fixture.followerState.names.count(own) == 0; }));
    CHECK(fixture.followerState.lists == 1);
}

// Guards against a follower that misses endpoints of its new cell after the fleet has grown.
TEST_CASE("StoreRelay.FollowerListsAgainWhenTheFleetDivisionChanges")
{
    DividedFixture fixture;
    fixture.startDivided();
    fixture.division = routing::FleetDivision(2, {"plain"});
    fixture.announce("p41", "plain", "127.0.0.1:9");
    CHECK(fixture.runUntil([&] {
        return fixture.followerState.lists == 2
            && fixture.followerState.names == fixture.ofFollowersCell();
    }));
}

// Guards against a host that keeps only the endpoints of its cell when it reads for others.
TEST_CASE("StoreRelay.FollowerThatBecomesAReaderListsAllEndpoints")
{
    DividedFixture fixture;
    fixture.startDivided();
    fixture.followerSource.readFromStore();
    CHECK(
        fixture.runUntil([&] { return fixture.followerState.names == fixture.readerState.names; }));
    CHECK(fixture.followerState.division.cells() == 1);
}

// Guards against followers that wait until their new reader has listed the endpoints of all cells.
TEST_CASE("StoreRelay.StandbyFollowerHoldsAllEndpointsAndBecomesAReaderWithoutAList")
{
    DividedFixture fixture;
    fixture.followerSource.source.wantsAllObjects = true;
    fixture.startDivided();
    CHECK(fixture.followerState.names == fixture.readerState.names);
    const std::string other = fixture.nameInCell(false);
    fixture.announce(other, "plain", "127.0.0.1:9");
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.count(other) == 1; }));
    fixture.followerSource.readFromStore();
    fixture.announce(other + "1", "plain", "127.0.0.1:9");
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.count(other + "1") == 1; }));
    CHECK(fixture.followerState.lists == 1);
}

// Guards against a reader that visits all endpoints when one of them changes.
TEST_CASE("StoreRelay.OneChangeVisitsNoOtherObject")
{
    DividedFixture fixture;
    fixture.startDivided();
    const std::uint64_t before = fixture.relay.work().value();
    const std::string own = fixture.nameInCell(true);
    fixture.announce(own, "plain", "127.0.0.1:9");
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.names.count(own) == 1; }));
    CHECK(fixture.relay.work().value() - before <= 2);
}
