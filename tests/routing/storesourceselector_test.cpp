#include "storefleet.h"

#include <monsoongrade/routing/storesourceselector.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = StoreSource::Kind;

namespace {

// One host of a fleet that has run for a while, at the time now.
struct AccessWorld
{
    explicit AccessWorld(const std::string &ip, int size = 100)
        : hosts(storeFleet(size))
        , access(ip, {"10.0.0.0", "10.0.0.1", "10.0.0.2"}, units::TimePoint{})
    {
    }

    StoreSource next() { return access.next(hosts, true, now); }

    std::vector<PeerUpdate> hosts;
    units::TimePoint now{std::chrono::minutes(1)};
    StoreSourceSelector access;
};

std::string firstReader()
{
    return storeReaders(storeFleet(100), StoreReaderCount).front();
}

// A host that is no reader.
const std::string Follower = "10.0.0.3";

} // namespace

TEST_CASE("StoreSourceSelector.InASmallFleetEachHostReadsTheStore")
{
    AccessWorld world(Follower, 8);
    CHECK(world.next().kind == Kind::Store);
}

TEST_CASE("StoreSourceSelector.ReadersCallTheStoreAndOthersAskAReader")
{
    AccessWorld reader(firstReader());
    CHECK(reader.next().kind == Kind::Store);
    AccessWorld follower(Follower);
    const StoreSource source = follower.next();
    REQUIRE(source.kind == Kind::Host);
    const std::vector<std::string> readers = storeReaders(follower.hosts, StoreReaderCount);
    CHECK(std::find(readers.begin(), readers.end(), source.host) != readers.end());
}

TEST_CASE("StoreSourceSelector.FollowerOfAReaderThatWasKilledAsksTheNextAndNeverTheStore")
{
    // All readers are killed at once. Each refuses connections at once, and the follower goes from
    // one to the next until it comes to a host that lives.
    AccessWorld world(Follower);
    const std::vector<std::string> killed = storeReaders(world.hosts, StoreReaderCount);
    StoreSource source = world.next();
    for (int i = 0; i < 20 && source.kind == Kind::Host; ++i) {
        if (std::find(killed.begin(), killed.end(), source.host) == killed.end())
            break;
        world.access.onHostTimeout(source.host, world.now, world.now + milliseconds(3));
        world.now += milliseconds(3);
        source = world.next();
    }
    REQUIRE(source.kind == Kind::Host);
    CHECK(std::find(killed.begin(), killed.end(), source.host) == killed.end());
}

TEST_CASE("StoreSourceSelector.AskedHostReadsForAMomentThoughItIsNoReader")
{
    AccessWorld world(Follower);
    REQUIRE(world.next().kind == Kind::Host);
    world.access.onReadRequested(world.now);
    CHECK(world.next().kind == Kind::Store);
    world.now += seconds(4);
    CHECK(world.next().kind == Kind::Host);
}

TEST_CASE("StoreSourceSelector.HostThatReachesNoOtherReadsTheStoreItself")
{
    // Two hosts in a row give no answer: the path to the others is gone, not just one host.
    AccessWorld world(Follower);
    for (int i = 0; i < 2; ++i) {
        const StoreSource source = world.next();
        REQUIRE(source.kind == Kind::Host);
        const units::TimePoint calledAt = world.now;
        world.now += milliseconds(1500);
        world.access.onHostTimeout(source.host, calledAt, world.now);
    }
    CHECK(world.next().kind == Kind::Store);
    world.now += seconds(4);
    CHECK(world.next().kind == Kind::Host);
}

TEST_CASE("StoreSourceSelector.OneProbeAtATimeWhileTheStoreIsAway")
{
    // The store is away for ten seconds. One reader makes about two calls a second for both kinds
    // of objects together, and notices the return within half a second.
    AccessWorld world(firstReader());
    REQUIRE(world.next().kind == Kind::Store);
    world.access.onStoreFailed(world.now);
    const units::TimePoint end = world.now + seconds(10);
    int calls = 0;
    while (world.now < end) {
        const StoreSource source = world.next();
        if (source.kind == Kind::Store) {
            ++calls;
            CHECK(world.next().kind != Kind::Store); // the other kind of objects
            world.access.onStoreFailed(world.now);
        } else if (source.kind == Kind::Host) {
            world.access.onHostWithoutStore(source.host, world.now);
        }
        world.now += milliseconds(10);
    }
    CHECK(calls <= 24);
    CHECK(calls >= 16);
}

TEST_CASE("StoreSourceSelector.ReaderThatTheStoreRefusesFollowsAnother")
{
    // The store refuses this reader and serves another, whose proof is younger than the refusal.
    // The reader leaves its place and makes no more calls for a while.
    AccessWorld world(firstReader());
    REQUIRE(world.next().kind == Kind::Store);
    int calls = 0;
    const units::TimePoint refusedAt = world.now;
    StoreSource source;
    while (world.now < refusedAt + seconds(2)) {
        source = world.next();
        if (source.kind == Kind::Host)
            break;
        if (source.kind == Kind::Store) {
            ++calls;
            world.access.onStoreFailed(world.now);
        }
        world.now += milliseconds(10);
    }
    REQUIRE(source.kind == Kind::Host);
    CHECK(calls <= 4);
    world.access.onHostAnswered(source.host, world.now, world.now);
    CHECK(world.access.isRefused(world.now));
    CHECK(world.next().kind == Kind::Host);
    world.now += seconds(7);
    CHECK(world.next().kind == Kind::Store);
}

TEST_CASE("StoreSourceSelector.AnswerFromBeforeTheOutageIsNoSignOfARefusal")
{
    // The store is away for all. Another reader has not noticed yet and still answers.
    AccessWorld world(firstReader());
    REQUIRE(world.next().kind == Kind::Store);
    world.access.onStoreFailed(world.now);
    world.access.onHostAnswered("10.0.0.8", world.now - milliseconds(800), world.now);
    CHECK_FALSE(world.access.isRefused(world.now));
}

TEST_CASE("StoreSourceSelector.FollowersWaitPatientlyWhileNoReaderHasTheStore")
{
    AccessWorld world(Follower);
    for (std::size_t i = 0; i < StoreReaderCount; ++i) {
        const StoreSource source = world.next();
        REQUIRE(source.kind == Kind::Host);
        CHECK_FALSE(source.waitsForStore);
        world.access.onHostWithoutStore(source.host, world.now);
    }
    const StoreSource source = world.next();
    CHECK(source.kind == Kind::Host);
    CHECK(source.waitsForStore);
}

TEST_CASE("StoreSourceSelector.MoreHostsTryWhenAllReadersAreWithoutTheStore")
{
    // The store refuses a third of the hosts, all readers among them. They can't know that it
    // serves others until one of the others tries.
    int tries = 0;
    const std::vector<std::string> refused = storeReaders(storeFleet(100), StoreReaderCount);
    for (int i = 0; i < 100; ++i) {
        AccessWorld world("10.0.0." + std::to_string(i));
        for (PeerUpdate &host : world.hosts)
            host.storeReachableFor = {};
        const units::TimePoint end = world.now + seconds(4);
        bool hasTried = false;
        while (world.now < end && !hasTried) {
            const StoreSource source = world.next();
            const bool isRefused
                = std::find(refused.begin(), refused.end(),
                            world.access.isReader() ? "10.0.0." + std::to_string(i) : "")
                != refused.end();
            if (source.kind == Kind::Store && isRefused)
                world.access.onStoreFailed(world.now);
            else if (source.kind == Kind::Store)
                hasTried = true;
            else if (source.kind == Kind::Host)
                world.access.onHostWithoutStore(source.host, world.now);
            world.now += milliseconds(100);
        }
        tries += hasTried ? 1 : 0;
    }
    CHECK(tries >= 6);
    CHECK(tries <= 18);
}

TEST_CASE("StoreSourceSelector.StartingFleetReadsFromTheHostsThatTheSettingsName")
{
    // All hosts start together and know nobody but the hosts that the settings name.
    StoreSourceSelector seed("10.0.0.1", {"10.0.0.0", "10.0.0.1"}, units::TimePoint{});
    PeerUpdate own = storeFleet(2)[1];
    own.uptime = {};
    own.storeReachableFor = {};
    own.state = PeerState::NotReady;
    CHECK(seed.next({own}, false, units::TimePoint{milliseconds(1)}).kind == Kind::Store);

    StoreSourceSelector other("10.0.0.9", {"10.0.0.0", "10.0.0.1"}, units::TimePoint{});
    PeerUpdate ownNews = own;
    ownNews.ip = "10.0.0.9";
    const StoreSource first = other.next({ownNews}, false, units::TimePoint{milliseconds(1)});
    CHECK(first.kind == Kind::Store);
    CHECK(first.mayBeStale);
    CHECK(other.next({ownNews}, true, units::TimePoint{milliseconds(5)}).kind == Kind::Wait);
    const StoreSource then = other.next({ownNews, own}, true, units::TimePoint{milliseconds(9)});
    CHECK(then.kind == Kind::Host);
    CHECK(then.host == "10.0.0.1");
}

TEST_CASE("StoreSourceSelector.HostThatStartsWithoutAnyOtherReadsAfterAMoment")
{
    StoreSourceSelector access("10.0.0.9", {"10.0.0.0"}, units::TimePoint{});
    PeerUpdate own;
    own.ip = "10.0.0.9";
    CHECK(access.next({own}, true, units::TimePoint{milliseconds(300)}).kind == Kind::Wait);
    CHECK(access.next({own}, true, units::TimePoint{milliseconds(350)}).kind == Kind::Store);
}

TEST_CASE("StoreSourceSelector.HostThatStartsInARunningFleetAsksAReader")
{
    StoreSourceSelector access(Follower, {"10.0.0.0"}, units::TimePoint{});
    CHECK(access.next(storeFleet(100), false, units::TimePoint{milliseconds(3)}).kind
          == Kind::Host);
}

// Guards against a start at which each host of a large fleet reads all endpoints at the store.
TEST_CASE("StoreSourceSelector.HostOfALargeStartingFleetAsksALargeHost")
{
    std::vector<PeerUpdate> hosts = storeFleet(100);
    for (PeerUpdate &host : hosts)
        host.uptime = milliseconds(100);
    StoreSourceSelector access(Follower, {"10.0.0.1"}, units::TimePoint{});
    units::TimePoint now{milliseconds(100)};
    CHECK(access.next(hosts, false, now).mayBeStale);
    access.markFleetLarge();
    CHECK(access.next(hosts, false, now).kind == Kind::Wait);
    now += milliseconds(700);
    const StoreSource source = access.next(hosts, false, now);
    REQUIRE(source.kind == Kind::Host);
    const std::vector<std::string> readers = storeReaders(hosts, StoreReaderCount);
    CHECK(std::find(readers.begin(), readers.end(), source.host) != readers.end());
}

TEST_CASE("StoreSourceSelector.ReaderOfALargeStartingFleetBeginsWithAListThatCostsLittle")
{
    std::vector<PeerUpdate> hosts = storeFleet(100);
    for (PeerUpdate &host : hosts)
        host.uptime = milliseconds(800);
    StoreSourceSelector access(firstReader(), {"10.0.0.1"}, units::TimePoint{});
    access.markFleetLarge();
    const units::TimePoint now{milliseconds(800)};
    const StoreSource list = access.next(hosts, false, now);
    CHECK(list.kind == Kind::Store);
    CHECK(list.mayBeStale);
    CHECK(list.servesOtherHosts);
    CHECK_FALSE(access.next(hosts, true, now).mayBeStale);
}

// Guards against hosts of a large fleet that each list all endpoints when the readers are lost.
TEST_CASE("StoreSourceSelector.HostsOfALargeFleetStandByForTheReaders")
{
    int standingBy = 0;
    for (const PeerUpdate &host : storeFleet(100)) {
        AccessWorld world(host.ip);
        CHECK_FALSE(world.next().wantsAllObjects);
        world.access.markFleetLarge();
        const StoreSource source = world.next();
        standingBy += source.kind == Kind::Host && source.wantsAllObjects ? 1 : 0;
        CHECK(source.wantsAllObjects <= (host.millicores == 500));
    }
    CHECK(standingBy == 12);
}
