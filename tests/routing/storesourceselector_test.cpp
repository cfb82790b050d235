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

// A host in a running fleet, at the time now.
struct SelectorFixture
{
    explicit SelectorFixture(const std::string &ip, int size = 100)
        : hosts(storeFleet(size))
        , selector(ip, {"10.0.0.0", "10.0.0.1", "10.0.0.2"}, units::TimePoint{})
    {
    }

    StoreSource next() { return selector.next(hosts, true, now); }

    std::vector<PeerUpdate> hosts;
    units::TimePoint now{std::chrono::minutes(1)};
    StoreSourceSelector selector;
};

std::string firstReader()
{
    return storeReaders(storeFleet(100), StoreReaderCount).front();
}

// A host that is not a reader.
const std::string Follower = "10.0.0.3";

} // namespace

TEST_CASE("StoreSourceSelector.EachHostReadsStoreInSmallFleet")
{
    SelectorFixture fixture(Follower, 8);
    CHECK(fixture.next().kind == Kind::Store);
}

TEST_CASE("StoreSourceSelector.ReadersCallStoreAndOthersCallReader")
{
    SelectorFixture reader(firstReader());
    CHECK(reader.next().kind == Kind::Store);
    SelectorFixture follower(Follower);
    const StoreSource source = follower.next();
    REQUIRE(source.kind == Kind::Host);
    const std::vector<std::string> readers = storeReaders(follower.hosts, StoreReaderCount);
    CHECK(std::find(readers.begin(), readers.end(), source.host) != readers.end());
}

TEST_CASE("StoreSourceSelector.FollowerOfLostReadersTriesOtherHostsNotStore")
{
    // All readers are killed together. Each refuses connections immediately, and the follower tries
    // one after another until it reaches a live host.
    SelectorFixture fixture(Follower);
    const std::vector<std::string> lostReaders = storeReaders(fixture.hosts, StoreReaderCount);
    StoreSource source = fixture.next();
    for (int i = 0; i < 20 && source.kind == Kind::Host; ++i) {
        if (std::find(lostReaders.begin(), lostReaders.end(), source.host) == lostReaders.end())
            break;
        fixture.selector.onHostTimeout(source.host, fixture.now, fixture.now + milliseconds(3));
        fixture.now += milliseconds(3);
        source = fixture.next();
    }
    REQUIRE(source.kind == Kind::Host);
    CHECK(std::find(lostReaders.begin(), lostReaders.end(), source.host) == lostReaders.end());
}

TEST_CASE("StoreSourceSelector.CalledHostBecomesReaderTemporarily")
{
    SelectorFixture fixture(Follower);
    REQUIRE(fixture.next().kind == Kind::Host);
    fixture.selector.onReadRequested(fixture.now);
    CHECK(fixture.next().kind == Kind::Store);
    fixture.now += seconds(4);
    CHECK(fixture.next().kind == Kind::Host);
}

TEST_CASE("StoreSourceSelector.IsolatedHostReadsStore")
{
    // Two consecutive hosts do not respond: the network is at fault, not a single host.
    SelectorFixture fixture(Follower);
    for (int i = 0; i < 2; ++i) {
        const StoreSource source = fixture.next();
        REQUIRE(source.kind == Kind::Host);
        const units::TimePoint calledAt = fixture.now;
        fixture.now += milliseconds(1500);
        fixture.selector.onHostTimeout(source.host, calledAt, fixture.now);
    }
    CHECK(fixture.next().kind == Kind::Store);
    fixture.now += seconds(4);
    CHECK(fixture.next().kind == Kind::Host);
}

TEST_CASE("StoreSourceSelector.ProbesStoreOneCallAtATimeDuringOutage")
{
    // The store is unavailable for ten seconds. A reader makes about two calls per second for both
    // kinds of objects together, and notices the store's return within half a second.
    SelectorFixture fixture(firstReader());
    REQUIRE(fixture.next().kind == Kind::Store);
    fixture.selector.onStoreFailed(fixture.now);
    const units::TimePoint end = fixture.now + seconds(10);
    int calls = 0;
    while (fixture.now < end) {
        const StoreSource source = fixture.next();
        if (source.kind == Kind::Store) {
            ++calls;
            CHECK(fixture.next().kind != Kind::Store); // the other kind of objects
            fixture.selector.onStoreFailed(fixture.now);
        } else if (source.kind == Kind::Host) {
            fixture.selector.onHostWithoutStore(source.host, fixture.now);
        }
        fixture.now += milliseconds(10);
    }
    CHECK(calls <= 24);
    CHECK(calls >= 16);
}

TEST_CASE("StoreSourceSelector.RefusedReaderFollowsAnother")
{
    // The store refuses this reader and serves another, whose content is newer than the refusal.
    // The host stops being a reader and makes no more calls for a while.
    SelectorFixture fixture(firstReader());
    REQUIRE(fixture.next().kind == Kind::Store);
    int calls = 0;
    const units::TimePoint refusedAt = fixture.now;
    StoreSource source;
    while (fixture.now < refusedAt + seconds(2)) {
        source = fixture.next();
        if (source.kind == Kind::Host)
            break;
        if (source.kind == Kind::Store) {
            ++calls;
            fixture.selector.onStoreFailed(fixture.now);
        }
        fixture.now += milliseconds(10);
    }
    REQUIRE(source.kind == Kind::Host);
    CHECK(calls <= 4);
    fixture.selector.onHostAnswered(source.host, fixture.now, fixture.now);
    REQUIRE(fixture.next().kind == Kind::Store);
    fixture.now += milliseconds(5);
    fixture.selector.onStoreFailed(fixture.now);
    source = fixture.next();
    REQUIRE(source.kind == Kind::Host);
    fixture.selector.onHostAnswered(source.host, fixture.now, fixture.now);
    CHECK(fixture.selector.isRefused(fixture.now));
    CHECK(fixture.next().kind == Kind::Host);
    fixture.now += seconds(7);
    CHECK(fixture.next().kind == Kind::Store);
}

// Guards against a reader that takes itself for refused because another one noticed the end of an
// outage first: whoever waits at it would learn of the end only when that wait is over.
TEST_CASE("StoreSourceSelector.ReaderThatNoticesTheStoresReturnLastStaysAReader")
{
    SelectorFixture fixture(firstReader());
    REQUIRE(fixture.next().kind == Kind::Store);
    fixture.selector.onStoreFailed(fixture.now);
    fixture.now += milliseconds(300);
    fixture.selector.onStoreFailed(fixture.now);
    fixture.now += milliseconds(50);
    fixture.selector.onHostAnswered("10.0.0.8", fixture.now, fixture.now);
    CHECK_FALSE(fixture.selector.isRefused(fixture.now));
    CHECK(fixture.next().kind == Kind::Store);
    fixture.selector.onStoreAnswered();
    fixture.now += milliseconds(500);
    CHECK(fixture.next().kind == Kind::Store);
    CHECK(fixture.selector.isReader());
}

TEST_CASE("StoreSourceSelector.ContentFromBeforeOutageDoesNotIndicateRefusal")
{
    // The store is unavailable to all. Another reader has not noticed yet and still responds.
    SelectorFixture fixture(firstReader());
    REQUIRE(fixture.next().kind == Kind::Store);
    fixture.selector.onStoreFailed(fixture.now);
    fixture.selector.onHostAnswered("10.0.0.8", fixture.now - milliseconds(800), fixture.now);
    CHECK_FALSE(fixture.selector.isRefused(fixture.now));
}

TEST_CASE("StoreSourceSelector.FollowersWaitWhileNoReaderReachesStore")
{
    SelectorFixture fixture(Follower);
    for (std::size_t i = 0; i < StoreReaderCount; ++i) {
        const StoreSource source = fixture.next();
        REQUIRE(source.kind == Kind::Host);
        CHECK_FALSE(source.waitsForStore);
        fixture.selector.onHostWithoutStore(source.host, fixture.now);
    }
    const StoreSource source = fixture.next();
    CHECK(source.kind == Kind::Host);
    CHECK(source.waitsForStore);
}

TEST_CASE("StoreSourceSelector.MoreHostsTryWhenNoReaderReachesStore")
{
    // The store refuses a third of the hosts, including all readers. They can't know that it serves
    // others until one of the others tries.
    int tries = 0;
    const std::vector<std::string> refused = storeReaders(storeFleet(100), StoreReaderCount);
    for (int i = 0; i < 100; ++i) {
        SelectorFixture fixture("10.0.0." + std::to_string(i));
        for (PeerUpdate &host : fixture.hosts)
            host.storeReachableFor = {};
        const units::TimePoint end = fixture.now + seconds(4);
        bool hasTried = false;
        while (fixture.now < end && !hasTried) {
            const StoreSource source = fixture.next();
            const bool isRefused
                = std::find(refused.begin(), refused.end(),
                            fixture.selector.isReader() ? "10.0.0." + std::to_string(i) : "")
                != refused.end();
            if (source.kind == Kind::Store && isRefused)
                fixture.selector.onStoreFailed(fixture.now);
            else if (source.kind == Kind::Store)
                hasTried = true;
            else if (source.kind == Kind::Host)
                fixture.selector.onHostWithoutStore(source.host, fixture.now);
            fixture.now += milliseconds(100);
        }
        tries += hasTried ? 1 : 0;
    }
    CHECK(tries >= 6);
    CHECK(tries <= 18);
}

TEST_CASE("StoreSourceSelector.StartingFleetReadsFromSeedHosts")
{
    // All hosts start together and know only the configured seed hosts.
    StoreSourceSelector seed("10.0.0.1", {"10.0.0.0", "10.0.0.1"}, units::TimePoint{});
    PeerUpdate own = storeFleet(2)[1];
    own.uptime = {};
    own.storeReachableFor = {};
    own.state = PeerState::NotReady;
    CHECK(seed.next({own}, false, units::TimePoint{milliseconds(1)}).kind == Kind::Store);

    StoreSourceSelector other("10.0.0.9", {"10.0.0.0", "10.0.0.1"}, units::TimePoint{});
    PeerUpdate ownUpdate = own;
    ownUpdate.ip = "10.0.0.9";
    const StoreSource first = other.next({ownUpdate}, false, units::TimePoint{milliseconds(1)});
    CHECK(first.kind == Kind::Store);
    CHECK(first.mayBeStale);
    CHECK(other.next({ownUpdate}, true, units::TimePoint{milliseconds(5)}).kind == Kind::Wait);
    const StoreSource then = other.next({ownUpdate, own}, true, units::TimePoint{milliseconds(9)});
    CHECK(then.kind == Kind::Host);
    CHECK(then.host == "10.0.0.1");
}

TEST_CASE("StoreSourceSelector.HostStartingAloneReadsStoreAfterTimeout")
{
    StoreSourceSelector selector("10.0.0.9", {"10.0.0.0"}, units::TimePoint{});
    PeerUpdate own;
    own.ip = "10.0.0.9";
    CHECK(selector.next({own}, true, units::TimePoint{milliseconds(300)}).kind == Kind::Wait);
    CHECK(selector.next({own}, true, units::TimePoint{milliseconds(350)}).kind == Kind::Store);
}

TEST_CASE("StoreSourceSelector.HostJoiningRunningFleetCallsReader")
{
    StoreSourceSelector selector(Follower, {"10.0.0.0"}, units::TimePoint{});
    CHECK(selector.next(storeFleet(100), false, units::TimePoint{milliseconds(3)}).kind
          == Kind::Host);
}

// Guards against each host of a large fleet listing all endpoints from the store at startup.
TEST_CASE("StoreSourceSelector.HostOfLargeStartingFleetCallsLargeHost")
{
    std::vector<PeerUpdate> hosts = storeFleet(100);
    for (PeerUpdate &host : hosts)
        host.uptime = milliseconds(100);
    StoreSourceSelector selector(Follower, {"10.0.0.1"}, units::TimePoint{});
    units::TimePoint now{milliseconds(100)};
    CHECK(selector.next(hosts, false, now).mayBeStale);
    selector.markFleetLarge();
    CHECK(selector.next(hosts, false, now).kind == Kind::Wait);
    now += milliseconds(700);
    const StoreSource source = selector.next(hosts, false, now);
    REQUIRE(source.kind == Kind::Host);
    const std::vector<std::string> readers = storeReaders(hosts, StoreReaderCount);
    CHECK(std::find(readers.begin(), readers.end(), source.host) != readers.end());
}

TEST_CASE("StoreSourceSelector.ReaderOfLargeStartingFleetBeginsWithStaleList")
{
    std::vector<PeerUpdate> hosts = storeFleet(100);
    for (PeerUpdate &host : hosts)
        host.uptime = milliseconds(800);
    StoreSourceSelector selector(firstReader(), {"10.0.0.1"}, units::TimePoint{});
    selector.markFleetLarge();
    const units::TimePoint now{milliseconds(800)};
    const StoreSource list = selector.next(hosts, false, now);
    CHECK(list.kind == Kind::Store);
    CHECK(list.mayBeStale);
    CHECK(list.servesOtherHosts);
    CHECK_FALSE(selector.next(hosts, true, now).mayBeStale);
}

// Guards against each host of a large fleet listing all endpoints when the readers are lost.
TEST_CASE("StoreSourceSelector.StandbyHostsOfLargeFleetRequestAllObjects")
{
    int standingBy = 0;
    for (const PeerUpdate &host : storeFleet(100)) {
        SelectorFixture fixture(host.ip);
        CHECK_FALSE(fixture.next().wantsAllObjects);
        fixture.selector.markFleetLarge();
        const StoreSource source = fixture.next();
        standingBy += source.kind == Kind::Host && source.wantsAllObjects ? 1 : 0;
        CHECK(source.wantsAllObjects <= (host.millicores == 500));
    }
    CHECK(standingBy == 12);
}
