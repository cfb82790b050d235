#include "gatewayworld.h"

#include <platform/storerelay.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Recorder : MirrorListener
{
    void onWholeList(const std::vector<MirroredObject> &objects, units::TimePoint) override
    {
        ++lists;
        names.clear();
        for (const MirroredObject &object : objects)
            names.insert(object.name);
    }
    void onChanged(const MirroredObject &object) override { names.insert(object.name); }
    void onRemoved(const std::string &name, units::TimePoint) override { names.erase(name); }
    void onProven(units::TimePoint at) override { provenAt = at; }
    void onDivision(const std::optional<routing::FleetDivision> &told) override
    {
        division = told.value_or(routing::FleetDivision());
    }
    bool isDivided() const override { return division.cells() > 1; }

    int lists = 0;
    std::set<std::string> names;
    routing::FleetDivision division;
    units::TimePoint provenAt{};
};

const std::string FollowerIp = "10.0.0.2";

// Sends a mirror to the source that a test wants.
struct ChosenSource : MirrorSources
{
    routing::StoreSource next(bool) override { return source; }
    asio::ip::tcp::endpoint addressOf(const routing::StoreSource &wanted) const override
    {
        return wanted.kind == routing::StoreSource::Kind::Host ? host : store;
    }
    void onAnswered(const routing::StoreSource &, units::TimePoint) override { ++answered; }
    void onFailed(const routing::StoreSource &failed, const StoreAnswer &,
                  units::TimePoint) override
    {
        ++failures;
        // As the decision does: the next source is the store.
        if (failed.kind == routing::StoreSource::Kind::Host)
            readFromStore();
    }
    void onLongList() override { ++longLists; }
    bool wasFleetWideOutage(units::Duration) const override { return true; }
    void readFromStore() { source = {}; }
    void readFromHost()
    {
        source = {};
        source.kind = routing::StoreSource::Kind::Host;
        source.host = "reader";
    }

    routing::StoreSource source;
    asio::ip::tcp::endpoint store;
    asio::ip::tcp::endpoint host;
    int answered = 0;
    int failures = 0;
    int longLists = 0;
};

// The store, a host that reads it and passes it on, and a host that reads from that one.
struct RelayWorld : GatewayWorld
{
    RelayWorld()
        : lease(seconds(5), milliseconds(1300))
        , client(io, timers, metrics)
        , relay(
              io, timers, {asio::ip::make_address_v4(settings.ip), RelayPort}, lease,
              [this] {
                  ++asked;
                  return mayHaveStore;
              },
              [this] { return division; })
        , idleRelay(
              io, timers, {asio::ip::make_address_v4(settings.ip), RelayPort + 1}, lease,
              [] { return false; }, [] { return routing::FleetDivision(); })
        , reader(client, timers,
                 {"servers", milliseconds(1500), milliseconds(1500), milliseconds(700), "10.0.0.1"},
                 readerSees, relay, readerSource)
        , follower(
              client, timers,
              {"servers", milliseconds(1500), milliseconds(1500), milliseconds(700), FollowerIp},
              followerSees, idleRelay, followerSource)
    {
        readerSource.store = store.address();
        followerSource.store = store.address();
        followerSource.host = {asio::ip::make_address_v4(settings.ip), RelayPort};
        followerSource.readFromHost();
    }
    void begin()
    {
        lease.renew(clock.now());
        reader.start();
        REQUIRE(runUntil([&] { return !readerSees.names.empty(); }));
        follower.start();
        REQUIRE(runUntil([&] { return followerSees.names == readerSees.names; }));
    }

    observability::Metrics metrics;
    routing::FreshnessLease lease;
    StoreClient client;
    int asked = 0;
    bool mayHaveStore = true;
    routing::FleetDivision division;
    StoreRelay relay;
    StoreRelay idleRelay;
    Recorder readerSees;
    Recorder followerSees;
    ChosenSource readerSource;
    ChosenSource followerSource;
    ObjectMirror reader;
    ObjectMirror follower;
};

} // namespace

TEST_CASE("StoreRelay.ChangesReachTheFollowerWithoutACallToTheStore")
{
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.begin();
    const int calls = world.store.calls();
    world.announce("p2", "plain", "127.0.0.1:9");
    CHECK(world.runUntil([&] { return world.followerSees.names.count("p2") == 1; },
                         milliseconds(200)));
    world.store.remove("servers", "p1");
    CHECK(world.runUntil([&] { return world.followerSees.names.count("p1") == 0; },
                         milliseconds(200)));
    CHECK(world.store.calls() - calls <= 2); // the reader's watches
    CHECK(world.followerSource.failures == 0);
}

TEST_CASE("StoreRelay.FollowerThatMovesReadsNoListAgain")
{
    // A reader dies and its followers go to another, or hosts that read the store become followers.
    // If each read the whole list again, the new reader's link would be busy for longer than the
    // calls may take, and nobody would serve for half a minute.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.followerSource.readFromStore();
    world.begin();
    const int lists = world.followerSees.lists;
    world.followerSource.readFromHost();
    world.announce("p2", "plain", "127.0.0.1:9");
    world.runFor(milliseconds(300));
    world.announce("p3", "plain", "127.0.0.1:9");
    CHECK(world.runUntil([&] { return world.followerSees.names.count("p3") == 1; },
                         milliseconds(300)));
    CHECK(world.followerSees.names.count("p2") == 1);
    CHECK(world.followerSees.lists == lists);
    CHECK(world.followerSource.failures == 0);
}

TEST_CASE("StoreRelay.ChangesThatArriveTogetherAllReachTheFollower")
{
    // The reader learns of three changes in one answer, which has one revision. A follower that is
    // told of the first at this revision asks for what came after it, and would miss the others:
    // endpoints that leave would get requests for ever.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.begin();
    world.store.setBehavior(
        standins::StoreBehavior::Silent); // keeps the events until they are together
    world.announce("p2", "plain", "127.0.0.1:9");
    world.announce("p3", "plain", "127.0.0.1:9");
    world.store.remove("servers", "p1");
    world.store.setBehavior(standins::StoreBehavior::Normal);
    world.announce("p4", "plain", "127.0.0.1:9");
    const std::set<std::string> expected{"p2", "p3", "p4"};
    CHECK(world.runUntil([&] { return world.followerSees.names == expected; }, milliseconds(500)));
}

TEST_CASE("StoreRelay.FollowersProofIsNeverYoungerThanTheReaders")
{
    // The reader's last proof is two seconds old. The follower must not take the answer for a
    // fresh proof, or a revoked key would live on for that much longer.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.lease.renew(world.clock.now());
    world.reader.start();
    REQUIRE(world.runUntil([&] { return !world.readerSees.names.empty(); }));
    const units::TimePoint readersProof = world.clock.now() - seconds(2);
    world.lease = routing::FreshnessLease(seconds(5), milliseconds(1300));
    world.lease.renew(readersProof);
    world.follower.start();
    world.runFor(milliseconds(1000));
    REQUIRE(world.followerSees.provenAt != units::TimePoint{});
    CHECK(world.followerSees.provenAt <= readersProof + milliseconds(2));
}

TEST_CASE("StoreRelay.FollowerIsAnsweredWithEachAnswerOfTheStore")
{
    // In an outage each host accepts keys until its last proof is too old. A follower that waited
    // for its own interval would stop earlier than the reader does.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.begin();
    world.runFor(milliseconds(800)); // the follower's wait is over, the reader's is not
    const int answered = world.followerSource.answered;
    const units::TimePoint before = world.readerSees.provenAt;
    REQUIRE(world.runUntil([&] { return world.readerSees.provenAt > before; }, seconds(2)));
    CHECK(world.runUntil([&] { return world.followerSource.answered > answered; },
                         milliseconds(100)));
}

TEST_CASE("StoreRelay.CallWaitsAMomentForAReaderThatLostOneAnswer")
{
    // One answer of the store to the reader is lost. Its followers need not look for another
    // reader: the call that comes in the gap is answered when the store is back.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.begin();
    world.relay.onCurrent("servers", false);
    world.runFor(milliseconds(100));
    world.relay.onCurrent("servers", true);
    world.runFor(milliseconds(300));
    CHECK(world.followerSource.failures == 0);
}

TEST_CASE("StoreRelay.FollowerLearnsAtOnceThatItsReaderCantHaveTheStore")
{
    // The store refuses the reader and serves others. Its followers must not wait for it.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.begin();
    world.mayHaveStore = false;
    world.relay.onCurrent("servers", false);
    CHECK(world.runUntil([&] { return world.followerSource.failures == 1; }, milliseconds(400)));
    world.announce("p2", "plain", "127.0.0.1:9");
    CHECK(world.runUntil([&] { return world.followerSees.names.count("p2") == 1; },
                         milliseconds(500)));
}

TEST_CASE("StoreRelay.PatientCallIsAnsweredWhenTheStoreIsBack")
{
    // All readers have lost the store, and the follower waits for its return at one of them.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.begin();
    world.relay.onCurrent("servers", false);
    world.followerSource.source.waitsForStore = true;
    world.runFor(milliseconds(500));
    world.announce("p2", "plain", "127.0.0.1:9");
    world.relay.onCurrent("servers", true);
    CHECK(world.runUntil([&] { return world.followerSees.names.count("p2") == 1; },
                         milliseconds(200)));
}

TEST_CASE("StoreRelay.FollowersNeedNoListWhenTheStoresHistoryIsGone")
{
    // The store drops its history and the reader lists. What differs from before are the changes
    // in the gap, and each follower is told of these, removals included.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.announce("p2", "plain", "127.0.0.1:9");
    world.begin();
    const int lists = world.followerSees.lists;
    world.store.setBehavior(standins::StoreBehavior::Silent); // keeps the watch from telling
    world.store.remove("servers", "p1");
    world.announce("p3", "plain", "127.0.0.1:9");
    world.store.setBehavior(standins::StoreBehavior::Normal);
    world.store.compact();
    const std::set<std::string> expected{"p2", "p3"};
    CHECK(world.runUntil([&] { return world.followerSees.names == expected; }, seconds(1)));
    CHECK(world.followerSees.lists == lists);
}

TEST_CASE("StoreRelay.ListOlderThanWhatIsKnownIsNotUsed")
{
    // The follower knows that an endpoint is gone and then has to list at a reader. One that has
    // not heard of the removal yet must not bring the endpoint back.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.announce("p2", "plain", "127.0.0.1:9");
    world.followerSource.readFromStore();
    world.follower.start();
    REQUIRE(world.runUntil([&] { return world.followerSees.names.size() == 2; }));
    const std::uint64_t before = world.store.revision();
    world.store.remove("servers", "p1");
    REQUIRE(world.runUntil([&] { return world.followerSees.names.size() == 1; }));

    MirroredObject old;
    old.name = "p1";
    old.revision = routing::Revision(before - 1);
    world.lease.renew(world.clock.now());
    world.relay.onList("servers", {old}, before);
    world.relay.onCurrent("servers", true);
    world.followerSource.readFromHost();
    world.store.compact(); // ends the follower's watch; the next call goes to the reader
    REQUIRE(world.runUntil([&] { return world.followerSource.failures > 0; }));
    CHECK(world.followerSees.names == std::set<std::string>{"p2"});
}

TEST_CASE("ObjectMirror.ListThatMayBeOldIsNotUsedBeforeItIsBroughtUpToDate")
{
    // A starting host reads a list that is some seconds old, which costs little. An endpoint that
    // left since must not get requests, not even for the moment until the first watch answers.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.announce("p2", "plain", "127.0.0.1:9");
    world.store.keepForStaleLists();
    world.store.remove("servers", "p1");
    world.followerSource.readFromStore();
    world.followerSource.source.mayBeStale = true;
    world.follower.start();
    REQUIRE(world.runUntil([&] { return world.followerSource.answered == 1; }));
    CHECK(world.followerSees.names.empty());
    world.followerSource.readFromStore();
    CHECK(world.runUntil([&] { return world.followerSees.names == std::set<std::string>{"p2"}; }));
    CHECK(world.store.staleLists() == 1);
}

TEST_CASE("ObjectMirror.WatchThatFailsIsContinuedWithoutAList")
{
    // The store loses one answer. A list would cost the store and the link more than to ask again
    // for what changed.
    RelayWorld world;
    world.announce("p1", "plain", "127.0.0.1:9");
    world.followerSource.readFromStore();
    world.follower.start();
    REQUIRE(world.runUntil([&] { return world.followerSees.names.size() == 1; }));
    const int lists = world.store.lists();
    world.store.setBehavior(standins::StoreBehavior::DroppingResponses);
    REQUIRE(world.runUntil([&] { return world.followerSource.failures > 0; }, seconds(3)));
    world.store.setBehavior(standins::StoreBehavior::Normal);
    world.announce("p2", "plain", "127.0.0.1:9");
    CHECK(world.runUntil([&] { return world.followerSees.names.size() == 2; }, seconds(1)));
    CHECK(world.store.lists() == lists);
}

TEST_CASE("StoreRelay.ManyVersionsOfALargeObjectAreKeptOnce")
{
    // Configurations with thousands of routes come in quick succession. A host that kept each
    // version for followers that are behind would run out of memory; the last one is enough.
    RelayWorld world;
    const std::string large(100000, 'x');
    world.store.put("servers", "big", large);
    world.begin();
    world.followerSource.readFromStore();
    for (int i = 0; i < 20; ++i) {
        world.store.put("servers", "big", large + std::to_string(i));
        world.runFor(milliseconds(30));
    }
    world.announce("p1", "plain", "127.0.0.1:9");
    const auto client = RawClient::connect(world.io, world.followerSource.host);
    client->send("GET /objects/servers?watch=1&wait_ms=0 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(world.runUntil([&] { return client->isWhole(); }, seconds(2)));
    // The revision asked for is older than the reader's first list; from there on one state each.
    client->clear();
    const std::uint64_t first = 2;
    client->send("GET /objects/servers?watch=" + std::to_string(first)
                 + "&wait_ms=0 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(world.runUntil([&] { return client->isWhole(); }, seconds(2)));
    CHECK(client->status() == 200);
    CHECK(client->body().size() < 2 * large.size());
}

namespace {

// A fleet of four cells in which the pool "plain" is divided.
struct DividedWorld : RelayWorld
{
    DividedWorld()
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
        for (const std::string &name : readerSees.names) {
            if (name != "m1" && isInFollowersCell(name))
                names.insert(name);
        }
        return names;
    }
    void beginDivided()
    {
        lease.renew(clock.now());
        reader.start();
        REQUIRE(runUntil([&] { return readerSees.names.size() == 41; }));
        follower.start();
        REQUIRE(runUntil([&] { return followerSees.lists == 1; }));
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

// Guards against hosts that each hold, list and decode the endpoints of the whole fleet.
TEST_CASE("StoreRelay.FollowerHoldsTheEndpointsOfItsCellAndOfPoolsThatAreNotDivided")
{
    DividedWorld world;
    world.beginDivided();
    CHECK(world.followerSees.division == world.division);
    CHECK(world.followerSees.names == world.ofFollowersCell());
    CHECK(world.followerSees.names.size() < 25);
    const std::string other = world.nameInCell(false);
    const std::string own = world.nameInCell(true);
    world.announce(other, "plain", "127.0.0.1:9");
    world.announce(own, "plain", "127.0.0.1:9");
    REQUIRE(world.runUntil([&] { return world.followerSees.names.count(own) == 1; }));
    CHECK(world.followerSees.names.count(other) == 0);
    world.store.remove("servers", own);
    CHECK(world.runUntil([&] { return world.followerSees.names.count(own) == 0; }));
    CHECK(world.followerSees.lists == 1);
}

// Guards against a follower that misses endpoints of its new cell after the fleet has grown.
TEST_CASE("StoreRelay.FollowerListsAgainWhenTheFleetIsDividedAnew")
{
    DividedWorld world;
    world.beginDivided();
    world.division = routing::FleetDivision(2, {"plain"});
    world.announce("p41", "plain", "127.0.0.1:9");
    CHECK(world.runUntil([&] {
        return world.followerSees.lists == 2 && world.followerSees.names == world.ofFollowersCell();
    }));
}

// Guards against a host that goes on with the endpoints of its cell when it reads for others.
TEST_CASE("StoreRelay.FollowerThatBecomesAReaderListsAllEndpoints")
{
    DividedWorld world;
    world.beginDivided();
    world.followerSource.readFromStore();
    CHECK(world.runUntil([&] { return world.followerSees.names == world.readerSees.names; }));
    CHECK(world.followerSees.division.cells() == 1);
}

// Guards against followers that wait until the next reader has listed the endpoints of all cells.
TEST_CASE("StoreRelay.FollowerThatStandsByHoldsAllEndpointsAndBecomesAReaderWithoutAList")
{
    DividedWorld world;
    world.followerSource.source.wantsAllObjects = true;
    world.beginDivided();
    CHECK(world.followerSees.names == world.readerSees.names);
    const std::string other = world.nameInCell(false);
    world.announce(other, "plain", "127.0.0.1:9");
    REQUIRE(world.runUntil([&] { return world.followerSees.names.count(other) == 1; }));
    world.followerSource.readFromStore();
    world.announce(other + "1", "plain", "127.0.0.1:9");
    REQUIRE(world.runUntil([&] { return world.followerSees.names.count(other + "1") == 1; }));
    CHECK(world.followerSees.lists == 1);
}

// Guards against a change of one endpoint that costs a reader a walk over all of them.
TEST_CASE("StoreRelay.OneChangeLooksAtNoOtherObject")
{
    DividedWorld world;
    world.beginDivided();
    const std::uint64_t before = world.relay.work().value();
    const std::string own = world.nameInCell(true);
    world.announce(own, "plain", "127.0.0.1:9");
    REQUIRE(world.runUntil([&] { return world.followerSees.names.count(own) == 1; }));
    CHECK(world.relay.work().value() - before <= 2);
}
